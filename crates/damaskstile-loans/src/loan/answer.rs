//! `answer` says what became of an ask.

use damaskstile_core::prelude::*;
use damaskstile_escrow::Shortage;

use crate::LoanNumber;
use crate::lender::LoanId;

/// `LoanAnswer` says what became of an ask.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LoanAnswer {
    /// Number of the ask.
    #[prost(uint64, tag = "1")]
    pub number: LoanNumber,
    /// What became of it.
    #[prost(enumeration = "LoanOutcome", tag = "2")]
    pub outcome: i32,
    /// Incarnation of the borrower that asked. Its successor counts from the beginning, and an
    /// answer that comes late would bring it what was lent to an ask of the same number.
    #[prost(fixed64, tag = "3")]
    pub incarnation: Incarnation,
}

/// `LoanOutcome` is what a lender says to an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
pub enum LoanOutcome {
    /// The lender has nothing and knows of nobody who has; another one may.
    Elsewhere = 0,
    /// The tokens are lent.
    Lent = 1,
    /// The lender fetches tokens from the store and answers again soon.
    Waiting = 2,
    /// The account's tokens are spent.
    Exhausted = 3,
    /// What is left is kept for more urgent calls of the account.
    Reserved = 4,
}

impl LoanAnswer {
    /// Makes the answer to an ask.
    ///
    /// ```
    /// use damaskstile_loans::lender::LoanId;
    /// use damaskstile_loans::{LoanAnswer, LoanOutcome};
    /// let answer = LoanAnswer::new(&LoanId::new("a", 1, 3), LoanOutcome::Lent);
    /// assert_eq!(answer.said(), LoanOutcome::Lent);
    /// ```
    #[must_use]
    pub fn new(id: &LoanId, outcome: LoanOutcome) -> Self {
        Self {
            number: id.number,
            outcome: outcome.into(),
            incarnation: id.incarnation,
        }
    }

    /// Returns what the lender says. A word of a later version brings no tokens.
    #[must_use]
    pub fn said(&self) -> LoanOutcome {
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
