//! Token usage of a run.

use serde::{Deserialize, Serialize};

/// `RunEnd` is the token usage of a finished run.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunEnd {
    /// Number of tokens of the prompt.
    #[prost(uint64, tag = "1")]
    pub prompt_tokens: u64,
    /// Number of tokens that the target generated.
    #[prost(uint64, tag = "2")]
    pub output_tokens: u64,
}
