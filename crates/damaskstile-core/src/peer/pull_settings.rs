//! Request for newer settings.

use serde::{Deserialize, Serialize};

/// `PullSettings` requests settings newer than those of the sender.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PullSettings {
    /// Version in force at the sender.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
}
