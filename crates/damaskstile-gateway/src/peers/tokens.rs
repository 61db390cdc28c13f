//! `tokens` moves tokens between instances.

/// `AskTokens` asks a peer for tokens.
#[derive(prost::Message, Clone, PartialEq)]
pub struct AskTokens {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Tokens that are missing.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// `GiveTokens` hands tokens over.
#[derive(prost::Message, Clone, PartialEq)]
pub struct GiveTokens {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The tokens, which the giver counts as used.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of the gift within the giver's incarnation.
    #[prost(uint64, tag = "3")]
    pub gift: u64,
}
