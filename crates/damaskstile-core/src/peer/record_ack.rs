//! Answer to a record of a run.

use serde::{Deserialize, Serialize};

/// `RecordAck` answers a record of a run. Without an acceptance, nothing may be spent from the
/// grant.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecordAck {
    /// Run of the record.
    #[prost(string, tag = "1")]
    pub run: String,
    /// Whether the record was accepted. Records of a closed grant are refused.
    #[prost(bool, tag = "2")]
    pub is_accepted: bool,
}
