//! `cold_limit` says how much work a cold target may get from all instances together.

use damaskstile_core::prelude::*;

use crate::call_limit::CallLimit;

/// `ColdLimit` says how much work a cold target may get from all instances together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdLimit {
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Calls that it may get within any second; `None` for any number.
    pub calls_per_s: Option<f64>,
}

impl ColdLimit {
    /// Returns the limit of calls; `None` for any number.
    #[must_use]
    pub fn calls(&self) -> Option<CallLimit> {
        self.calls_per_s
            .map(|calls_per_s| CallLimit { calls_per_s })
    }
}
