//! Request for a loan.

use damaskstile_core::prelude::*;

use crate::LoanNumber;

/// Asks a lender for the tokens of one call.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoanRequest {
    /// Number of the loan within the borrower's incarnation.
    #[prost(uint64, tag = "1")]
    pub number: LoanNumber,
    /// Account of the call.
    #[prost(string, tag = "2")]
    pub account: AccountId,
    /// Worst-case cost of the call, in tokens.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Rank of the call among those of its account; 0 is the most urgent.
    #[prost(uint32, tag = "4")]
    pub rank: u32,
    /// Whether the borrower holds tokens of the account and counts the call as its own demand.
    #[prost(bool, tag = "5")]
    pub is_counted: bool,
}
