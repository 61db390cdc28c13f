//! Options of a budget's holder.

use damaskstile_core::prelude::*;

use crate::policy::PolicyKind;

/// Options for holding a budget at an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetOptions {
    /// Policy that decides the size of grants and whether tokens are transferred between peers.
    pub policy: PolicyKind,
    /// Number of instances in the fleet.
    pub instances: u64,
    /// Time that a grant should last at the current spending rate.
    pub horizon: Duration,
    /// Share of the held tokens kept in open grants, in percent. These can be spent without records
    /// while a network partition cuts the instance off from its witnesses.
    pub open_percent: u64,
    /// Interval between writes of pending entries to the ledger.
    pub flush_interval: Duration,
    /// Time that a request waits for the store before tokens are requested from peers.
    pub store_wait_limit: Duration,
    /// Time that a request to peers for tokens waits for their answers.
    pub peer_wait_limit: Duration,
    /// Maximum number of entries waiting for the store.
    pub pending_entries_max: usize,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self {
            policy: PolicyKind::default(),
            instances: 3,
            horizon: Duration::from_secs(4),
            open_percent: 5,
            flush_interval: Duration::from_millis(500),
            store_wait_limit: Duration::from_millis(120),
            peer_wait_limit: Duration::from_millis(40),
            pending_entries_max: 10_000,
        }
    }
}
