//! `spread` keeps the settings in force and brings newer ones in, from the store or from peers.

use damaskstile_core::prelude::*;

use crate::settings::Settings;

/// `Applied` tells what became of a version that came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// It is in force now.
    InForce,
    /// It is not newer than the version in force.
    Old,
    /// It cannot be read or breaks a rule; the version in force stays.
    Refused(String),
}

/// `SettingsInForce` keeps the newest valid settings that were seen.
///
/// Versions only go up. A read that lags, a peer that was cut off or a restart may bring an older
/// version; it is never applied.
#[derive(Debug, Clone, Default)]
pub struct SettingsInForce {
    version: Version,
    text: String,
    settings: Settings,
    refused_version: Version,
}

impl SettingsInForce {
    /// Makes the state of an instance that knows no settings yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a version.
    ///
    /// ```
    /// use damaskstile_fleet::spread::{Applied, SettingsInForce};
    /// let mut settings = SettingsInForce::new();
    /// assert_eq!(settings.apply(2, "[fleet]\nopen_percent = 10"), Applied::InForce);
    /// assert_eq!(settings.apply(1, ""), Applied::Old);
    /// ```
    pub fn apply(&mut self, version: Version, text: &str) -> Applied {
        if version <= self.version || version == self.refused_version {
            return Applied::Old;
        }
        match Settings::try_from_toml(text) {
            Ok(settings) => {
                self.version = version;
                text.clone_into(&mut self.text);
                self.settings = settings;
                Applied::InForce
            }
            Err(error) => {
                self.refused_version = version;
                Applied::Refused(error.to_string())
            }
        }
    }

    /// Returns the version in force; 0 where there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the text in force, for peers.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Tells whether no settings are known yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.version == 0
    }
}
