//! Actions that a holder requests from its instance.

use damaskstile_core::peer::Adoption;
use damaskstile_core::prelude::*;

/// A draw on a grant, with the witnesses of the grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrawPlan {
    /// The grant and the tokens drawn.
    pub draw: Draw,
    /// Peers of which one must keep the record first; empty for an open grant.
    pub witnesses: BTreeMap<InstanceId, Incarnation>,
    /// Transfers through which the tokens arrived and which the ledger may not contain yet, oldest
    /// first.
    pub origins: Vec<Adoption>,
}

/// Action that a holder requests from its instance.
#[derive(Debug, Clone, PartialEq)]
pub enum HolderEffect {
    /// Read the ledger.
    Read,
    /// Update the ledger.
    Write {
        /// Version of the ledger that the update is conditional on.
        expected_version: Version,
        /// New value.
        value: String,
    },
    /// Store a page of bills, on condition that it does not exist yet.
    WritePage {
        /// Number of the page.
        page: u64,
        /// Serialised entries of the page.
        value: String,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// Report that a waiting run has its reservation.
    Ready {
        /// The run.
        run: RunId,
        /// Draws that make up the reservation.
        draws: Vec<DrawPlan>,
    },
    /// Report that a waiting run gets no reservation.
    Refused {
        /// The run.
        run: RunId,
        /// Reason of the refusal.
        code: RefusalCode,
    },
    /// Have a transfer to a peer recorded by the grant's witnesses, then send it.
    Transfer {
        /// The transfer.
        transfer: RunId,
        /// Tokens transferred, with the witnesses of their grant.
        plan: DrawPlan,
    },
    /// Announce a new grant to its witnesses.
    AnnounceGrant {
        /// The grant.
        grant: GrantId,
        /// Witnesses of the grant.
        witnesses: BTreeSet<InstanceId>,
    },
    /// Report that entries or transfers are in the ledger, so their records can be dropped.
    Flushed {
        /// The runs and transfers.
        runs: Vec<RunId>,
    },
    /// Report that the ledger contains this instance's seal of these grants.
    Sealed {
        /// Unresponsive holder.
        holder: InstanceId,
        /// Incarnation of the holder.
        incarnation: Incarnation,
        /// Grants that this instance has sealed.
        grants: BTreeSet<GrantId>,
    },
    /// Write a log event.
    Log(LogEvent),
}
