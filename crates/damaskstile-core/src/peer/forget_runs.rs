//! `forget_runs` holds the word that records can go.

use serde::{Deserialize, Serialize};

/// `ForgetRuns` lets go of records.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ForgetRuns {
    /// Runs whose bills are stored.
    #[prost(string, repeated, tag = "1")]
    pub runs: Vec<String>,
}
