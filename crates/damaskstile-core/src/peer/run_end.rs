//! `run_end` holds what a run used.

use serde::{Deserialize, Serialize};

/// `RunEnd` is what a run used.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunEnd {
    /// Tokens of the prompt.
    #[prost(uint64, tag = "1")]
    pub prompt_tokens: u64,
    /// Tokens that the target generated.
    #[prost(uint64, tag = "2")]
    pub output_tokens: u64,
}
