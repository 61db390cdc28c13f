//! Reports to peers of how the targets of a service differ in speed.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_targets::TargetTable;

/// Reports that are taken from one digest. A sender states no more; a faulty one must not cost more.
const REPORTS_MAX: usize = 16;

/// `SpeedReport` is what the sender observed of one target's speed.
#[derive(prost::Message, Clone, PartialEq)]
pub struct SpeedReport {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Start of the target, in milliseconds since the Unix epoch, if stated.
    #[prost(uint64, optional, tag = "2")]
    pub started_at_unix_ms: Option<u64>,
    /// How long first tokens took, in percent of the predicted time.
    #[prost(uint64, tag = "3")]
    pub factor_percent: u64,
    /// Number of recent calls that show it.
    #[prost(uint64, tag = "4")]
    pub samples: u64,
    /// Milliseconds since the newest of these calls.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
}

impl SpeedReport {
    /// Makes the report of a speed as of `now`.
    pub(super) fn of(
        now: Duration,
        identity: TargetIdentity,
        speed: damaskstile_targets::SpeedReport,
    ) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // 25 to 800
        let factor_percent = (speed.factor * 100.0).round() as u64;
        Self {
            target: identity.target,
            started_at_unix_ms: identity.incarnation,
            factor_percent,
            samples: speed.samples,
            age_ms: unix_ms(now.saturating_sub(speed.at)),
        }
    }

    /// Returns the target and its speed as of `now`; `None` if the sender states no factor.
    pub(super) fn to_speed(
        &self,
        now: Duration,
    ) -> Option<(TargetIdentity, damaskstile_targets::SpeedReport)> {
        let percent = u32::try_from(self.factor_percent).unwrap_or(u32::MAX);
        let speed = damaskstile_targets::SpeedReport {
            factor: f64::from(percent) / 100.0,
            samples: self.samples,
            // `None` if the calls were made before this instance's clock started.
            at: now.checked_sub(Duration::from_millis(self.age_ms))?,
        };
        let identity = TargetIdentity::new(&self.target, self.started_at_unix_ms);
        (percent > 0).then_some((identity, speed))
    }
}

/// Applies the reports of one digest.
pub(super) fn apply_all(
    table: &mut TargetTable,
    now: Duration,
    from: &str,
    reports: &[SpeedReport],
) {
    let reports = reports.iter().take(REPORTS_MAX);
    for (target, speed) in reports.filter_map(|report| report.to_speed(now)) {
        table.apply_speed_report(now, from, &target, speed);
    }
}
