//! `sums` say what one incarnation may spend of an account.

/// `Sums` say what one incarnation may spend of an account, in tokens since its start.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Sums {
    /// What it may spend in all.
    #[prost(uint64, tag = "1")]
    pub allowed_tokens: u64,
    /// Part of it that it may spend before it counts as isolated.
    #[prost(uint64, tag = "2")]
    pub ceiling_tokens: u64,
    /// Part of it that the ledger counts as spent.
    #[prost(uint64, tag = "3")]
    pub settled_tokens: u64,
}
