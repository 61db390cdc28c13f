//! `options` holds the settings of a budget's holder.

use damaskstile_core::prelude::*;

use crate::policy::PolicyKind;

/// `BudgetOptions` sets how an instance holds a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetOptions {
    /// How large grants are and whether tokens are handed over.
    pub policy: PolicyKind,
    /// Instances of the fleet.
    pub instances: u64,
    /// Time ahead that a grant should last.
    pub horizon: Duration,
    /// Part of what is held that is spent without records, for cuts, in percent.
    pub open_percent: u64,
    /// Time between flushes of bills.
    pub flush_interval: Duration,
    /// Time a request waits for the store before peers are asked.
    pub store_patience: Duration,
    /// Time a request waits for peers' tokens.
    pub ask_patience: Duration,
    /// Entries that may wait for the store.
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
            store_patience: Duration::from_millis(120),
            ask_patience: Duration::from_millis(40),
            pending_entries_max: 10_000,
        }
    }
}
