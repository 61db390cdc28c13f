//! An instance's statement about one account in a report.

/// An instance's statement about one account in a report. Amounts are in tokens and counted from
/// the start of the incarnation.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Claim {
    /// Tokens that finished calls have used.
    #[prost(uint64, tag = "1")]
    pub used_tokens: u64,
    /// Used tokens plus the worst-case cost of the calls in progress.
    #[prost(uint64, tag = "2")]
    pub needed_tokens: u64,
    /// Allowance that the sender stays within until it learns of a larger one.
    #[prost(uint64, tag = "3")]
    pub kept_tokens: u64,
    /// Part of that allowance that the sender may spend before it counts as isolated.
    #[prost(uint64, tag = "4")]
    pub ceiling_tokens: u64,
    /// Demand in tokens per second.
    #[prost(uint64, tag = "5")]
    pub demand_tokens_per_s: u64,
    /// Part of that demand that comes from the account's most urgent calls.
    #[prost(uint64, tag = "6")]
    pub urgent_tokens_per_s: u64,
    /// Average worst-case cost of a call.
    #[prost(uint64, tag = "7")]
    pub call_tokens: u64,
    /// Largest number of tokens that a single call could not reserve since the last report.
    #[prost(uint64, tag = "8")]
    pub wanted_tokens: u64,
    /// Whether other instances borrow tokens of the account from the sender.
    #[prost(bool, tag = "9")]
    pub is_lender: bool,
}
