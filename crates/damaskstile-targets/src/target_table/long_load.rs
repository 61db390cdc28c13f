//! Measures how long targets are busy with the prefill of long prompts.

use damaskstile_core::prelude::*;

/// Time constant of the decay, in which an old load loses two thirds of its weight. It spans a few
/// tens of long prompts at usual rates, and is short against changes in the course of a day.
const TIME_CONSTANT: Duration = Duration::from_secs(20);

/// Measures how many targets one instance keeps busy with the prefill of long prompts.
#[derive(Debug, Clone, Default)]
pub(super) struct LongLoad {
    prefill_ms: f64,
    at: Duration,
}

impl LongLoad {
    pub(super) fn add(&mut self, now: Duration, prefill_ms: f64) {
        self.prefill_ms = self.decayed(now) + prefill_ms;
        self.at = self.at.max(now);
    }

    /// Returns the average number of targets that are busy at a time.
    pub(super) fn busy_targets(&self, now: Duration) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64() / 1_000.0
    }

    fn decayed(&self, now: Duration) -> f64 {
        let gap = now.saturating_sub(self.at).as_secs_f64();
        self.prefill_ms * (-gap / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
