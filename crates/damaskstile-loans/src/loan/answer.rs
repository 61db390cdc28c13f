//! A lender's answer to a loan request.

use damaskstile_core::prelude::*;
use damaskstile_escrow::Shortage;

use crate::LoanNumber;
use crate::lender::LoanId;

/// A lender's answer to a loan request.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LoanAnswer {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: LoanNumber,
    /// Outcome of the request, a [`LoanOutcome`].
    #[prost(enumeration = "LoanOutcome", tag = "2")]
    pub outcome: i32,
    /// Incarnation of the borrower that made the request. A successor numbers its requests from the
    /// beginning, so without it a late answer would give the successor what was lent to a request
    /// of the same number.
    #[prost(fixed64, tag = "3")]
    pub incarnation: Incarnation,
}

/// Outcome of a loan request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
pub enum LoanOutcome {
    /// The lender has no tokens and knows of no instance that has; another lender may.
    Elsewhere = 0,
    /// The tokens are lent.
    Lent = 1,
    /// The lender fetches tokens from the store and answers again soon.
    Waiting = 2,
    /// The account's tokens are spent.
    Exhausted = 3,
    /// The remaining tokens are reserved for more urgent calls of the account.
    Reserved = 4,
}

impl LoanAnswer {
    /// Creates the answer to a request.
    ///
    /// ```
    /// use damaskstile_loans::lender::LoanId;
    /// use damaskstile_loans::{LoanAnswer, LoanOutcome};
    /// let answer = LoanAnswer::new(&LoanId::new("a", 1, 3), LoanOutcome::Lent);
    /// assert_eq!(answer.decoded_outcome(), LoanOutcome::Lent);
    /// ```
    #[must_use]
    pub fn new(id: &LoanId, outcome: LoanOutcome) -> Self {
        Self {
            number: id.number,
            outcome: outcome.into(),
            incarnation: id.incarnation,
        }
    }

    /// Decodes the outcome. An outcome that only a later version knows counts as
    /// [`LoanOutcome::Elsewhere`].
    #[must_use]
    pub fn decoded_outcome(&self) -> LoanOutcome {
        LoanOutcome::try_from(self.outcome).unwrap_or(LoanOutcome::Elsewhere)
    }
}

impl From<Shortage> for LoanOutcome {
    fn from(shortage: Shortage) -> Self {
        match shortage {
            Shortage::Exhausted => Self::Exhausted,
            Shortage::Reserved => Self::Reserved,
            Shortage::InStore => Self::Waiting,
            Shortage::Elsewhere => Self::Elsewhere,
        }
    }
}
