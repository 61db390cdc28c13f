//! Messages between a borrower and a lender.

mod answer;
mod ask;
mod end;
mod ends_taken;

pub use answer::{LoanAnswer, LoanOutcome};
pub use ask::LoanAsk;
pub use end::{LoanEnd, LoanEnds};
pub use ends_taken::LoanEndsTaken;
