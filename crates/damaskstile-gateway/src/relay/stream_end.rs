//! Outcome of a relayed stream.

use damaskstile_core::prelude::*;

/// How a relayed stream ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Complete, including its last event.
    Complete,
    /// Broken off before its last event, for this reason.
    BrokenOff(RefusalCode),
}
