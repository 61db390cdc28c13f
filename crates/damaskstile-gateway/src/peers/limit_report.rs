//! Reports to peers of the call limits that targets advertise.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

/// `LimitReport` is the call limit that a target advertises for all instances together.
#[derive(prost::Message, Clone, PartialEq)]
pub struct LimitReport {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Start of the target, in milliseconds since the Unix epoch, if stated.
    #[prost(uint64, optional, tag = "2")]
    pub started_at_unix_ms: Option<u64>,
    /// Calls a second; `None` if the target no longer advertises a limit.
    #[prost(double, optional, tag = "3")]
    pub calls_per_s: Option<f64>,
    /// Milliseconds since the target advertised it.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

impl LimitReport {
    /// Makes the report of a limit as of `now`.
    pub(super) fn of(
        now: Duration,
        identity: TargetIdentity,
        limit: damaskstile_targets::LimitReport,
    ) -> Self {
        Self {
            target: identity.target,
            started_at_unix_ms: identity.incarnation,
            calls_per_s: limit.calls_per_s,
            age_ms: unix_ms(now.saturating_sub(limit.at)),
        }
    }

    /// Returns the target and its limit as of `now`; `None` if the value cannot be a limit.
    pub(super) fn to_limit(
        &self,
        now: Duration,
    ) -> Option<(TargetIdentity, damaskstile_targets::LimitReport)> {
        let is_limit = |calls: f64| calls.is_finite() && calls >= 0.0;
        if !self.calls_per_s.is_none_or(is_limit) {
            return None;
        }
        let limit = damaskstile_targets::LimitReport {
            calls_per_s: self.calls_per_s,
            at: now.saturating_sub(Duration::from_millis(self.age_ms)),
        };
        let identity = TargetIdentity::new(&self.target, self.started_at_unix_ms);
        Some((identity, limit))
    }
}
