//! The settings in force, and their replacement by newer versions from the store or from peers.

use damaskstile_core::prelude::*;

use crate::settings::Settings;

/// `Applied` is the result of applying a version of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The version is in force now.
    InForce,
    /// The version is not newer than the one in force, or was refused before.
    Old,
    /// The version is invalid, so the one in force stays. Holds the reason.
    Refused(String),
}

/// `SettingsInForce` holds the newest valid settings received. Their version never decreases.
///
/// A stale read, a peer that was partitioned or a restart may deliver an older version, which is
/// never applied.
#[derive(Debug, Clone, Default)]
pub struct SettingsInForce {
    version: Version,
    text: String,
    settings: Settings,
    refused_version: Version,
}

impl SettingsInForce {
    /// Creates the state of an instance that has not received any settings yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the settings in `text`, as TOML, if they are valid and newer than those in force.
    ///
    /// ```
    /// use damaskstile_fleet::settings_in_force::{Applied, SettingsInForce};
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

    /// Returns the version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the settings in force.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the settings in force as the TOML text that was applied, for sending to peers.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns whether no settings are in force yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.version == 0
    }
}
