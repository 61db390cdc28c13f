//! `ledger_fault` is what makes the stored ledger unusable.

use damaskstile_core::prelude::*;

/// Time between two reads of a ledger that cannot be used. Every call that lacks tokens asks for a
/// read; an operator who mends the ledger is not kept waiting by a second.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// `LedgerFault` is what makes the stored ledger unusable.
///
/// Nothing is written while there is one: the sums that another writer left cannot be told from
/// those that hold, and a ledger begun anew would hand tokens out again that are spent. Instances
/// serve from what they hold until an operator mends the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerFault {
    text: String,
    read_at: Duration,
}

impl LedgerFault {
    pub(crate) fn new(now: Duration, text: String) -> Self {
        Self { text, read_at: now }
    }

    /// Tells whether it is the same fault, found again.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.text == other.text
    }

    /// Tells whether the ledger should be read again.
    pub(crate) fn is_read_due(&self, now: Duration) -> bool {
        now.saturating_sub(self.read_at) >= READ_INTERVAL
    }

    pub(crate) fn text(&self) -> &str {
        &self.text
    }
}
