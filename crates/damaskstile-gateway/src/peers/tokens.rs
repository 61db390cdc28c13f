//! Messages for token transfers between instances.

/// `AskTokens` requests tokens from a peer.
#[derive(prost::Message, Clone, PartialEq)]
pub struct AskTokens {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of missing tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// `GiveTokens` transfers tokens to a peer.
#[derive(prost::Message, Clone, PartialEq)]
pub struct GiveTokens {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of tokens, which the sender counts as used.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of the transfer within the sender's incarnation.
    #[prost(uint64, tag = "3")]
    pub gift: u64,
}
