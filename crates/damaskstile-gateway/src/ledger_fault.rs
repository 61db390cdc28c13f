//! Faults of a stored ledger that make it unusable.

use damaskstile_core::prelude::*;

/// Interval between reads of an unusable ledger. Every call that lacks tokens asks for a read; the
/// interval limits these and delays the detection of a repair by at most a second.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// `LedgerFault` describes why the stored ledger is unusable.
///
/// Nothing is written while there is a fault: sums corrupted by another writer cannot be
/// distinguished from valid ones, and a rebuilt ledger would grant tokens again that are already
/// spent. Instances serve from the tokens that they hold until an operator repairs the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerFault {
    text: String,
    read_at: Duration,
}

impl LedgerFault {
    pub(crate) fn new(now: Duration, text: String) -> Self {
        Self { text, read_at: now }
    }

    /// Returns whether `other` is the same fault, found again.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.text == other.text
    }

    /// Returns whether the ledger should be read again.
    pub(crate) fn is_read_due(&self, now: Duration) -> bool {
        now.saturating_sub(self.read_at) >= READ_INTERVAL
    }

    pub(crate) fn text(&self) -> &str {
        &self.text
    }
}
