//! Messages that report the ends of loans to their lender.

use crate::LoanNumber;

/// Reports that a loan has ended, or that its borrower no longer waits for it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LoanEnd {
    /// Number of the loan.
    #[prost(uint64, tag = "1")]
    pub number: LoanNumber,
    /// Tokens that the loan's call used.
    #[prost(uint64, tag = "2")]
    pub used_tokens: u64,
}

/// Reports to a lender which of the sender's loans have ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoanEnds {
    /// The ended loans.
    #[prost(message, repeated, tag = "1")]
    pub ends: Vec<LoanEnd>,
}
