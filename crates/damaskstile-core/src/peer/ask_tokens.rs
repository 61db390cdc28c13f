//! `ask_tokens` holds the question for tokens.

use serde::{Deserialize, Serialize};

/// `AskTokens` asks a holder of a budget for tokens.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AskTokens {
    /// Budget.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// Tokens that are wanted.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of the question, for the answer.
    #[prost(uint64, tag = "3")]
    pub ask: u64,
}
