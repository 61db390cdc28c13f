//! Update of a target, as gossip spreads it.

use serde::{Deserialize, Serialize};

/// `TargetNote` reports that a target is leaving or has returned, with the age of the evidence.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetNote {
    /// Name of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Whether the target is leaving.
    #[prost(bool, tag = "2")]
    pub is_leaving: bool,
    /// Age of the evidence, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}
