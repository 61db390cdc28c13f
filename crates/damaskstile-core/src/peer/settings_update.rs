//! Settings sent to a peer.

use serde::{Deserialize, Serialize};

/// `SettingsUpdate` carries the settings in force at the sender.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SettingsUpdate {
    /// Version of the settings.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Settings, as stored.
    #[prost(string, tag = "2")]
    pub text: String,
}
