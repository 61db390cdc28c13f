//! Settings as they are stored, with their author.

use serde::{Deserialize, Serialize};

/// `StoredSettings` is the value of the stored object that holds the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredSettings {
    /// Operator who made the change.
    pub author: String,
    /// Summary of the change, in one line.
    pub note: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Whole tree of settings, as TOML.
    pub text: String,
}

/// Key of the stored object that holds the settings.
pub const SETTINGS_KEY: &str = "settings/tree";
