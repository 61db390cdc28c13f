//! Decaying counts of runs, and of those cut by crashes.

use damaskstile_core::prelude::*;

/// Time constant of the decay. Crashes of one wave are up to a minute apart, and a service that has
/// had none for that long needs no copies.
const TIME_CONSTANT: Duration = Duration::from_secs(20);

/// `LostRuns` counts the runs of one service that began and those that crashed targets cut. Old
/// runs lose weight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LostRuns {
    lost: f64,
    begun: f64,
    at: Duration,
}

impl LostRuns {
    /// Makes counts as of a time; `None` unless both are finite and not negative.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::run_copies::LostRuns;
    /// assert!(LostRuns::try_new(Duration::ZERO, 1.0, 9.0).is_some());
    /// assert!(LostRuns::try_new(Duration::ZERO, f64::NAN, 9.0).is_none());
    /// ```
    #[must_use]
    pub fn try_new(at: Duration, lost: f64, begun: f64) -> Option<Self> {
        let is_count = |count: f64| count.is_finite() && count >= 0.0;
        (is_count(lost) && is_count(begun)).then_some(Self { lost, begun, at })
    }

    /// Adds runs that were lost or began.
    pub fn add(&mut self, now: Duration, lost: f64, begun: f64) {
        let (lost_before, begun_before) = self.counts(now);
        self.lost = lost_before + lost;
        self.begun = begun_before + begun;
        self.at = self.at.max(now);
    }

    /// Returns the weights of the runs lost and begun.
    #[must_use]
    pub fn counts(&self, now: Duration) -> (f64, f64) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let weight = (-age / TIME_CONSTANT.as_secs_f64()).exp();
        (self.lost * weight, self.begun * weight)
    }
}
