//! `over` tells how a stream ended for its caller.

use damaskstile_core::prelude::*;

/// `Over` tells how a stream ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Over {
    /// With its last event.
    Whole,
    /// Broken off.
    BrokenOff(RefusalCode),
}
