//! Notice that records of runs are no longer needed.

use serde::{Deserialize, Serialize};

/// `DiscardRecords` tells a witness to discard the records of runs.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DiscardRecords {
    /// Runs whose bills are stored.
    #[prost(string, repeated, tag = "1")]
    pub runs: Vec<String>,
}
