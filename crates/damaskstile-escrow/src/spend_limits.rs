//! What one incarnation may spend of an account.

/// What one incarnation may spend of an account, in tokens since its start.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SpendLimits {
    /// Total that it may spend.
    #[prost(uint64, tag = "1")]
    pub allowed_tokens: u64,
    /// Part of the total that may be spent before the instance counts as isolated.
    #[prost(uint64, tag = "2")]
    pub ceiling_tokens: u64,
    /// Part of the total that the ledger counts as spent.
    #[prost(uint64, tag = "3")]
    pub settled_tokens: u64,
}
