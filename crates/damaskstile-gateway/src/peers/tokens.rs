//! Messages for token transfers between instances.

/// `TokenRequest` requests tokens from a peer.
#[derive(prost::Message, Clone, PartialEq)]
pub struct TokenRequest {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of missing tokens.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// `TokenTransfer` transfers tokens to a peer.
#[derive(prost::Message, Clone, PartialEq)]
pub struct TokenTransfer {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of tokens, which the sender counts as used.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of the transfer within the sender's incarnation.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}
