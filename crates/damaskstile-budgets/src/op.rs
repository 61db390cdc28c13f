//! `op` lists the changes that instances make to a ledger, in batches.

use damaskstile_core::peer::Adoption;
use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::entry::Entry;

/// `LedgerOp` is one change to a ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerOp {
    /// Asks for a grant. Its id is chosen before the write, so that a lost answer can be
    /// resolved by looking for it.
    Grant {
        /// Id of the new grant.
        grant: GrantId,
        /// Tokens that are needed now.
        need_tokens: u64,
        /// Tokens that are wanted, by the rate of spending.
        want_tokens: u64,
        /// Part of what the policy gives that this grant takes, in percent.
        part_percent: u64,
        /// Peers that will keep the records.
        witnesses: BTreeMap<InstanceId, Incarnation>,
    },
    /// Enters a transfer. Its taker does so, and whoever got the tokens on from the taker.
    Adopt(Adoption),
    /// Accounts for a run.
    Spend {
        /// What the run used.
        entry: Entry,
        /// Grants that the run was reserved on.
        draws: Vec<Draw>,
    },
    /// Gives unspent tokens back to the budget.
    Return {
        /// The grant.
        grant: GrantId,
        /// Tokens given back.
        tokens: u64,
    },
    /// Says that the writer accepts no more records for an incarnation's grants.
    Seal {
        /// Holder that is silent.
        holder: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Runs on record, by grant, with their worst case.
        kept: BTreeMap<GrantId, BTreeMap<RunId, u64>>,
    },
    /// Spends a grant without records from now on. Refused where a witness has sealed.
    Unwitness {
        /// The grant.
        grant: GrantId,
    },
    /// Says that all runs of the writer with a lower number are in the ledger after this batch.
    SettledBelow {
        /// The number.
        number: u64,
    },
    /// Drops the oldest entries, which stand in a stored page.
    DropPage {
        /// Number of the page.
        page: u64,
    },
}
