//! `end` tells a lender that loans are over.

use damaskstile_core::prelude::*;

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

/// `LoanEndsTaken` confirms that ends were taken in.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoanEndsTaken {
    /// Numbers of the loans.
    #[prost(uint64, repeated, tag = "1")]
    pub numbers: Vec<LoanNumber>,
    /// Incarnation of the borrower that told them.
    #[prost(fixed64, tag = "2")]
    pub incarnation: Incarnation,
}
