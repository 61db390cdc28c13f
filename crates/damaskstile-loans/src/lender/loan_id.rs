//! Identifier of a loan at its lender.

use damaskstile_core::prelude::*;

use crate::LoanNumber;

/// Identifier of a loan at its lender.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoanId {
    /// Instance that borrows.
    pub borrower: InstanceId,
    /// Incarnation of the borrower.
    pub incarnation: Incarnation,
    /// Number of the loan within the incarnation.
    pub number: LoanNumber,
}

impl LoanId {
    /// ```
    /// use damaskstile_loans::lender::LoanId;
    /// assert_eq!(LoanId::new("a", 1, 2).number, 2);
    /// ```
    #[must_use]
    pub fn new(borrower: &str, incarnation: Incarnation, number: LoanNumber) -> Self {
        Self {
            borrower: borrower.to_owned(),
            incarnation,
            number,
        }
    }
}
