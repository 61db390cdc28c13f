//! Reports to peers of the rejected calls that brittle targets withstand.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_targets::LimitReport;

/// `RejectionLimitReport` is the number of calls that the targets of a service may reject for all
/// instances together.
#[derive(prost::Message, Clone, PartialEq)]
pub struct RejectionLimitReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Rejections a second at one target; `None` if the targets no longer state a limit.
    #[prost(double, optional, tag = "2")]
    pub rejections_per_s: Option<f64>,
    /// Milliseconds since a target stated it.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

impl RejectionLimitReport {
    /// Makes the report of a limit as of `now`.
    pub(super) fn of(now: Duration, service: ServiceId, limit: LimitReport) -> Self {
        Self {
            service,
            rejections_per_s: limit.calls_per_s,
            age_ms: unix_ms(now.saturating_sub(limit.at)),
        }
    }

    /// Returns the limit as of `now`; `None` if the value cannot be a limit.
    pub(super) fn to_limit(&self, now: Duration) -> Option<LimitReport> {
        let is_limit = |calls: f64| calls.is_finite() && calls >= 0.0;
        let is_valid = self.rejections_per_s.is_none_or(is_limit);
        is_valid.then(|| LimitReport {
            calls_per_s: self.rejections_per_s,
            at: now.saturating_sub(Duration::from_millis(self.age_ms)),
        })
    }
}
