//! Reports to peers of the runs that crashed targets cut.

use damaskstile_core::prelude::*;

use crate::run_copies::LostRuns;

/// `LostRunsReport` is how many runs of one service began at the sender and how many of them
/// crashed targets cut. Both decay with time.
#[derive(prost::Message, Clone, PartialEq)]
pub struct LostRunsReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Weight of the runs that were cut.
    #[prost(float, tag = "2")]
    pub lost: f32,
    /// Weight of the runs that began.
    #[prost(float, tag = "3")]
    pub begun: f32,
}

impl LostRunsReport {
    /// Makes the report of counts as of `now`.
    #[allow(clippy::cast_possible_truncation)] // estimates
    pub(super) fn of(now: Duration, service: ServiceId, runs: LostRuns) -> Self {
        let (lost, begun) = runs.counts(now);
        Self {
            service,
            lost: lost as f32,
            begun: begun as f32,
        }
    }

    /// Returns the service and its counts as of `now`; `None` if the values cannot be counts.
    pub(super) fn to_lost_runs(&self, now: Duration) -> Option<(ServiceId, LostRuns)> {
        let runs = LostRuns::try_new(now, f64::from(self.lost), f64::from(self.begun))?;
        Some((self.service.clone(), runs))
    }
}
