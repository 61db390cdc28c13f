//! `damaskstile-loans` lets a few instances hold the tokens of an account for all others.
//!
//! In a fleet of hundreds one instance sees a call of a small account every ten seconds or more.
//! Divided by the instances, a budget lies in parts smaller than one call, each call waits for the
//! store, and the ledger has a line for each account and instance. So a few **lenders** hold an
//! account's tokens, one in each data centre ([`Placement`]), and any other instance **borrows**
//! what a call may need by one round trip. Only instances that see many calls of an account hold
//! tokens of it themselves.
//!
//! # Why nothing is spent twice
//!
//! - A loan is a reservation of its lender's [`Holder`](damaskstile_escrow::Holder), as if the call
//!   ran there. So it lies within what the lender may spend, which stands in the ledger. If the
//!   lender dies, whoever settles what it left counts all that it could have reserved by then.
//! - A loan has a number within its borrower's incarnation. A lender answers a repeated ask with the
//!   same loan, and one whose end it has heard with nothing. A borrower takes one answer to each ask
//!   of its own incarnation, while it waits for it; so each loan is spent by one call, once.
//! - A lender takes tokens back only by the borrower's word that the call is over and how much it
//!   used, and at most what was lent. Without that word the whole loan counts as used after
//!   [`LOAN_LIFE`](lender::LOAN_LIFE), on the lender's clock that no step of the time of day moves.
//!   A borrower that is frozen for longer may spend its loan then: it was counted already.
//! - A lost message costs tokens at most for that long: an ask that is given up is ended like a call
//!   that used nothing, and an end is repeated until it is confirmed.
//!
//! A lender that dies takes with it what its death costs any holder; a borrower that dies costs the
//! loans of its calls under way.

pub mod borrower;
pub mod lender;
pub mod loan;
pub mod placement;

pub use borrower::Borrower;
pub use lender::Lender;
pub use loan::{LoanAnswer, LoanAsk, LoanEnd, LoanEnds, LoanEndsTaken, LoanOutcome};
pub use placement::{Candidate, Placement};

/// Number of a loan within its borrower's incarnation.
pub type LoanNumber = u64;
