//! What a stream took until its last event.

use damaskstile_core::prelude::*;

/// What a stream took from its admission until its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamTotals {
    /// Bytes of its events.
    pub bytes: u64,
    /// Number of its events.
    pub events: u64,
    /// Time from its admission to its end.
    pub took: Duration,
}
