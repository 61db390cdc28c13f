//! `target_note` holds news of a target.

use serde::{Deserialize, Serialize};

/// `TargetNote` passes on that a target is leaving or is back, with the age of the evidence.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetNote {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Whether it is leaving.
    #[prost(bool, tag = "2")]
    pub is_leaving: bool,
    /// Age of the evidence, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}
