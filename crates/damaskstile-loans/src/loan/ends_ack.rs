//! Acknowledgement of ended loans.

use damaskstile_core::prelude::*;

use crate::LoanNumber;

/// Acknowledges that a lender has received the ends of loans.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LoanEndsAck {
    /// Numbers of the loans.
    #[prost(uint64, repeated, tag = "1")]
    pub numbers: Vec<LoanNumber>,
    /// Incarnation of the borrower that reported the ends.
    #[prost(fixed64, tag = "2")]
    pub incarnation: Incarnation,
}
