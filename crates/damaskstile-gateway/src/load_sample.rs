//! Sample of an instance's load.

use damaskstile_core::prelude::*;

/// Load of an instance since the previous sample.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Time since the previous sample.
    pub span: Duration,
    /// Scheduling delay: how much later than planned the sample was taken.
    pub scheduling_delay: Duration,
    /// Processor time spent on calls.
    pub busy_with_calls: Duration,
    /// Processor time spent on all other work.
    pub busy_with_other: Duration,
}
