//! `outgoing` is a message that a duty has sent to peers.

use std::net::SocketAddr;

use damaskstile_escrow::{LedgerChange, Receipt, Report};
use damaskstile_loans::LoanAsk;
use damaskstile_requests::Fingerprint;

use crate::peers::Reading;

/// `Outgoing` is a message that a duty has sent to peers.
#[derive(Debug)]
pub enum Outgoing {
    /// An own write to the ledger, for all that write to it.
    Change(LedgerChange),
    /// A long prompt that was sent to a target, for all peers.
    Reading(Reading),
    /// A content of which there is something new, for those that collect what is known of it.
    Suspect(Fingerprint),
    /// What this instance asks to have written.
    Report(SocketAddr, Report),
    /// An ask for the loan of a call's tokens.
    Borrow(SocketAddr, LoanAsk),
    /// What became of a peer's report.
    Receipt(SocketAddr, Receipt),
}
