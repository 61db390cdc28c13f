//! `stored` holds the settings as they stand in the store: the text, and who accepted it.

use serde::{Deserialize, Serialize};

/// `StoredSettings` is the value of the settings' object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredSettings {
    /// Operator who made the change.
    pub author: String,
    /// What the change was, in a line.
    pub note: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The whole tree, as TOML.
    pub text: String,
}

/// Key of the settings' object.
pub const SETTINGS_KEY: &str = "settings/tree";
