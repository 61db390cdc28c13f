//! Messages that other background tasks queue for peers.

use std::net::SocketAddr;

use damaskstile_escrow::{LedgerChange, Receipt, Report};
use damaskstile_loans::LoanRequest;
use damaskstile_requests::Fingerprint;

use crate::peers::{Reading, StreamQuery};

/// `Outgoing` is a message that is queued for peers.
#[derive(Debug)]
pub enum Outgoing {
    /// A ledger change written by this instance, for all other ledger writers.
    Change(LedgerChange),
    /// A long prompt that was sent to a target, for all peers.
    Reading(Reading),
    /// A suspect content with new evidence, for the peers that collect it.
    Suspect(Fingerprint),
    /// Entries for the ledger writer to write.
    Report(SocketAddr, Report),
    /// A request for a loan of the tokens of one call.
    Borrow(SocketAddr, LoanRequest),
    /// A query for where a stream began.
    StreamQuery(SocketAddr, StreamQuery),
    /// The answer to a peer's report.
    Receipt(SocketAddr, Receipt),
}
