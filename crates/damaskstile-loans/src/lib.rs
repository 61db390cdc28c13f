//! Lets a few instances hold the tokens of an account for all others.
//!
//! In a fleet of hundreds of instances, each sees a call of a small account only every ten seconds
//! or more. A budget divided among all of them lies in parts smaller than one call, each call waits
//! for the store, and the ledger has an item for each account and instance. So a few **lenders**
//! hold an account's tokens, one in each data centre ([`Placement`]), and any other instance
//! **borrows** the worst-case cost of a call with one round trip. Only instances that see many
//! calls of an account hold tokens of it themselves.
//!
//! # Why nothing is spent twice
//!
//! - A loan is a reservation of its lender's [`Holder`](damaskstile_escrow::Holder), as if the call
//!   ran there. So it lies within what the ledger allows the lender to spend. If the lender ends,
//!   settling its orphaned entry counts all that it could have reserved by then.
//! - A loan has a number within its borrower's incarnation. A lender answers a repeated request
//!   with the same loan, and does not answer a request whose end it has received. A borrower
//!   accepts one final answer to each request of its own incarnation, while it waits for it; so
//!   each loan is spent by one call, once.
//! - A lender takes tokens back only if the borrower reports that the call has finished and how
//!   much it used, and at most what was lent. Without that report the whole loan counts as used
//!   after [`LOAN_LIFE`](lender::LOAN_LIFE), on the lender's monotonic clock. A borrower that was
//!   suspended for longer may still spend its loan, because it is counted already.
//! - A lost message blocks tokens for at most that long: a request that is given up is ended like a
//!   call that used nothing, and an end is repeated until it is acknowledged.
//!
//! If a lender ends, the cost is the same as for any holder that ends; if a borrower ends, the cost
//! is the loans of its calls in progress.

pub mod borrower;
pub mod lender;
pub mod loan;
pub mod placement;

pub use borrower::Borrower;
pub use lender::Lender;
pub use loan::{LoanAnswer, LoanEnd, LoanEnds, LoanEndsAck, LoanOutcome, LoanRequest};
pub use placement::{Candidate, Placement};

/// Number of a loan within its borrower's incarnation.
pub type LoanNumber = u64;
