//! Changes to a ledger, which instances apply in batches.

use damaskstile_core::peer::Adoption;
use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::entry::Entry;

/// A change to a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerOp {
    /// Requests a grant. Its id is chosen before the write, so that after a lost answer a read of
    /// the ledger shows whether the grant was made.
    Grant {
        /// Id of the new grant.
        grant: GrantId,
        /// Tokens needed immediately.
        need_tokens: u64,
        /// Tokens wanted according to the spending rate.
        want_tokens: u64,
        /// Share of the size decided by the policy that this grant takes, in percent.
        part_percent: u64,
        /// Peers that will keep the records, with their incarnations. Empty for an open grant.
        witnesses: BTreeMap<InstanceId, Incarnation>,
    },
    /// Enters a transfer. The recipient does so, and any later recipient of the same tokens.
    Adopt(Adoption),
    /// Enters what a run used.
    Spend {
        /// Entry of the run.
        entry: Entry,
        /// Reservation of the run, by grant.
        draws: Vec<Draw>,
    },
    /// Returns unspent tokens to the budget.
    Return {
        /// The grant.
        grant: GrantId,
        /// Tokens returned.
        tokens: u64,
    },
    /// States that the writer no longer accepts records for the grants of an incarnation.
    Seal {
        /// Unresponsive holder.
        holder: InstanceId,
        /// Incarnation of the holder.
        incarnation: Incarnation,
        /// Runs and transfers on record, by grant, with their maximum tokens.
        kept: BTreeMap<GrantId, BTreeMap<RunId, u64>>,
    },
    /// Removes the witnesses of a grant, which is spent without records from then on. Refused if a
    /// witness has sealed the grant.
    Unwitness {
        /// The grant.
        grant: GrantId,
    },
    /// States that after this batch all runs of the writer with a lower number are accounted for.
    SettledBelow {
        /// Lowest run number that may still be open.
        number: u64,
    },
    /// Removes the oldest entries, which have been stored as a page.
    DropPage {
        /// Number of the page.
        page: u64,
    },
}
