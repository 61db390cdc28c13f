//! Messages between a borrower and a lender.

mod answer;
mod end;
mod ends_ack;
mod request;

pub use answer::{LoanAnswer, LoanOutcome};
pub use end::{LoanEnd, LoanEnds};
pub use ends_ack::LoanEndsAck;
pub use request::LoanRequest;
