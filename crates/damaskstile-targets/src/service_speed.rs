//! What the targets of one service have in common, against which the speed of each is measured.

use damaskstile_core::prelude::*;

/// Time for which a service counts as one whose targets state how long work takes on their machines.
/// An instance that gets a call of the service each minute stays within it.
const STATED_SPAN: Duration = Duration::from_mins(5);
/// Largest step of the median of answer times, as a logarithm: 5 percent for each answer, however
/// late it is.
const MEDIAN_STEP: f64 = 0.05;
/// Weight of the newest call in the mean duration.
const DURATION_WEIGHT: f64 = 0.02;

/// What the targets of one service have in common, against which the speed of each is measured.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceSpeed {
    stated_at: Option<Duration>,
    /// Logarithm of the median answer time of a plain service, in milliseconds.
    median_log_ms: Option<f64>,
    mean_duration_ms: Option<f64>,
}

impl ServiceSpeed {
    /// Records that a target stated how long work takes on its machine.
    pub(crate) fn record_stated(&mut self, now: Duration) {
        self.stated_at = Some(now);
    }

    /// Tells whether the targets state how long work takes on their machines.
    pub(crate) fn is_stated(&self, now: Duration) -> bool {
        self.stated_at
            .is_some_and(|at| now.saturating_sub(at) < STATED_SPAN)
    }

    /// Returns the median answer time of a plain service.
    pub(crate) fn median_ms(&self) -> Option<f64> {
        self.median_log_ms.map(f64::exp)
    }

    /// Learns the time of one answer of a plain service.
    pub(crate) fn record_answer(&mut self, took: Duration) {
        let log_ms = (took.as_secs_f64() * 1_000.0).max(0.1).ln();
        let median = self.median_log_ms.get_or_insert(log_ms);
        *median += (log_ms - *median).clamp(-MEDIAN_STEP, MEDIAN_STEP);
    }

    /// Returns how long calls take on average, from the send to the end.
    pub(crate) fn mean_duration_ms(&self) -> f64 {
        self.mean_duration_ms.unwrap_or_default()
    }

    /// Learns how long one call took from the send to the end.
    pub(crate) fn record_duration(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let mean = self.mean_duration_ms.get_or_insert(took_ms);
        *mean += (took_ms - *mean) * DURATION_WEIGHT;
    }
}
