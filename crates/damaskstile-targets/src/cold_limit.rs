//! Call limit of cold targets.

use damaskstile_core::prelude::*;

use crate::call_limit::CallLimit;

/// Limit of the calls that all instances together may send to a cold target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdLimit {
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Calls that it may receive within any second; `None` for no limit.
    pub calls_per_s: Option<f64>,
}

impl ColdLimit {
    /// Returns the call limit; `None` for no limit.
    #[must_use]
    pub fn calls(&self) -> Option<CallLimit> {
        self.calls_per_s
            .map(|calls_per_s| CallLimit { calls_per_s })
    }
}
