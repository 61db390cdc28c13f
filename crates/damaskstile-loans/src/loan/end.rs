//! `end` tells a lender that loans are over.

use crate::LoanNumber;

/// `LoanEnd` tells that a loan is over, or that its borrower no longer waits for it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LoanEnd {
    /// Number of the loan.
    #[prost(uint64, tag = "1")]
    pub number: LoanNumber,
    /// Tokens that its call used.
    #[prost(uint64, tag = "2")]
    pub used_tokens: u64,
}

/// `LoanEnds` tells a lender which loans of the sender are over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoanEnds {
    /// The loans.
    #[prost(message, repeated, tag = "1")]
    pub ends: Vec<LoanEnd>,
}
