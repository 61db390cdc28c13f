//! `ends_taken` confirms that a lender has heard of ends.

use damaskstile_core::prelude::*;

use crate::LoanNumber;

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
