//! Request for tokens.

use serde::{Deserialize, Serialize};

/// `TokenRequest` requests tokens from a holder of a budget.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TokenRequest {
    /// Budget that the tokens belong to.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// Number of tokens requested.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of the request, which the answer repeats.
    #[prost(uint64, tag = "3")]
    pub ask: u64,
}
