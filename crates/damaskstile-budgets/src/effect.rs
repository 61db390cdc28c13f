//! `effect` lists what a holder asks of the instance around it.

use damaskstile_core::peer::Adoption;
use damaskstile_core::prelude::*;

/// `DrawPlan` is a draw with the witnesses of its grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrawPlan {
    /// Grant and tokens.
    pub draw: Draw,
    /// Peers of which one must keep the record first; none for an open grant.
    pub witnesses: BTreeMap<InstanceId, Incarnation>,
    /// Transfers that the tokens came by and that the ledger may not have yet.
    pub origins: Vec<Adoption>,
}

/// `HolderEffect` is one output of a holder.
#[derive(Debug, Clone, PartialEq)]
pub enum HolderEffect {
    /// Read the ledger.
    Read,
    /// Update the ledger.
    Write {
        /// Version that must stand.
        expected_version: Version,
        /// New value.
        value: String,
    },
    /// Store a page of bills that must not exist yet.
    WritePage {
        /// Number of the page.
        page: u64,
        /// Its value.
        value: String,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// A run that waited has its reservation.
    Ready {
        /// The run.
        run: RunId,
        /// What it draws on.
        draws: Vec<DrawPlan>,
    },
    /// A run that waited gets no reservation.
    Refused {
        /// The run.
        run: RunId,
        /// Why.
        code: RefusalCode,
    },
    /// Tokens are to go to a peer once their record is kept.
    Give {
        /// The transfer.
        transfer: RunId,
        /// What is given.
        plan: DrawPlan,
    },
    /// A grant came that peers are to witness.
    Watch {
        /// The grant.
        grant: GrantId,
        /// Its witnesses.
        witnesses: BTreeSet<InstanceId>,
    },
    /// Entries are stored; their records can go.
    Flushed {
        /// The runs.
        runs: Vec<RunId>,
    },
    /// A seal of the writer is stored for these grants.
    Sealed {
        /// The silent holder.
        holder: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Grants that are sealed by this instance.
        grants: BTreeSet<GrantId>,
    },
    /// Write to the log.
    Log(LogEvent),
}
