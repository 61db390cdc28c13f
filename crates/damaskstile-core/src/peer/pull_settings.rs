//! `pull_settings` holds the question for newer settings.

use serde::{Deserialize, Serialize};

/// `PullSettings` asks for newer settings.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PullSettings {
    /// Version in force at the asker.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
}
