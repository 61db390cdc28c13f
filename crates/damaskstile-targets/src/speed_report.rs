//! What one instance observed of a target's speed.

use damaskstile_core::prelude::*;

/// Time after which an observation no longer counts.
const SPEED_MEMORY: Duration = Duration::from_secs(30);
/// Calls over which a factor is averaged. More would follow a change too slowly, and fewer would
/// let a single late call count as a slow target.
pub(crate) const SAMPLES_MAX: f64 = 20.0;
/// Samples at which a deviation counts half.
const DOUBT_SAMPLES: f64 = 4.0;
/// Bounds of a factor. The speeds of the targets of one service differed by 0.55 to 4.5.
const FACTOR_MIN: f64 = 0.25;
const FACTOR_MAX: f64 = 8.0;

/// What one instance observed of a target's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedReport {
    /// How many times longer than predicted first tokens (or whole answers of a plain service)
    /// took.
    pub factor: f64,
    /// Number of recent calls that show it.
    pub samples: u64,
    /// Time of the newest of these calls.
    pub at: Duration,
}

impl SpeedReport {
    /// Returns how many samples the report still counts for.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::SpeedReport;
    /// let report = SpeedReport { factor: 2.0, samples: 10, at: Duration::ZERO };
    /// assert_eq!(report.weight(Duration::from_secs(15)), 5.0);
    /// assert_eq!(report.weight(Duration::from_secs(30)), 0.0);
    /// ```
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // at most some tens
    pub fn weight(&self, now: Duration) -> f64 {
        (self.samples as f64).min(SAMPLES_MAX) * freshness(now, self.at)
    }

    /// Returns by how much the target deviates as far as the samples show it: a few samples deviate
    /// by chance.
    pub(crate) fn evidence(&self) -> f64 {
        let samples = self.weight(self.at);
        bounded_log(self.factor).abs() * samples / (samples + DOUBT_SAMPLES)
    }
}

/// Returns 1 for an observation made now, and 0 for one that no longer counts.
pub(crate) fn freshness(now: Duration, at: Duration) -> f64 {
    let age = now.saturating_sub(at).as_secs_f64();
    (1.0 - age / SPEED_MEMORY.as_secs_f64()).max(0.0)
}

/// Returns the logarithm of a factor within its bounds; 0 for what is not a number.
pub(crate) fn bounded_log(factor: f64) -> f64 {
    if factor.is_nan() {
        return 0.0;
    }
    factor.clamp(FACTOR_MIN, FACTOR_MAX).ln()
}
