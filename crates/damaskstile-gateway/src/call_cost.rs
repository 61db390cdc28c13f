//! Estimate of the processor time that a call takes.

use damaskstile_core::prelude::*;

use crate::load_sample::LoadSample;

/// Time constant of the exponential decay. Calls last for seconds, so their cost is averaged over
/// the calls that arrived in that time.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Minimum number of calls for an estimate.
const CALLS_MIN: f64 = 20.0;

/// Estimates the processor time that a call takes, including the work for all of its events.
#[derive(Debug, Clone, Default)]
pub struct CallCost {
    calls: f64,
    busy_s: f64,
    other_s: f64,
    span_s: f64,
}

impl CallCost {
    /// Adds a load sample and the number of calls since the previous one.
    pub fn note(&mut self, sample: &LoadSample, calls: f64) {
        let kept = (-sample.span.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.calls = self.calls * kept + calls;
        self.busy_s = self.busy_s * kept + sample.busy_with_calls.as_secs_f64();
        self.other_s = self.other_s * kept + sample.busy_with_other.as_secs_f64();
        self.span_s = self.span_s * kept + sample.span.as_secs_f64();
    }

    /// Returns the processor time of a call in seconds; 0 while too few calls were counted.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::call_cost::CallCost;
    /// use damaskstile_gateway::load_sample::LoadSample;
    /// let mut cost = CallCost::default();
    /// let sample = LoadSample {
    ///     span: Duration::from_secs(1),
    ///     busy_with_calls: Duration::from_millis(200),
    ///     ..LoadSample::default()
    /// };
    /// cost.note(&sample, 100.0);
    /// assert!((cost.per_call_s() - 0.002).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn per_call_s(&self) -> f64 {
        if self.calls < CALLS_MIN {
            0.0
        } else {
            self.busy_s / self.calls
        }
    }

    /// Returns the share of the processor's time that all other work takes.
    #[must_use]
    pub fn other_share(&self) -> f64 {
        if self.span_s > 0.0 {
            (self.other_s / self.span_s).min(1.0)
        } else {
            0.0
        }
    }
}
