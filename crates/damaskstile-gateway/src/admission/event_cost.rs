//! Estimate of the processor time that an event takes.

use damaskstile_core::prelude::*;

use crate::load_sample::LoadSample;

/// Cost of an event relative to that of a call, which is read, matched, charged and sent with two
/// heads, while an event is read and written once. Assumed, not measured: the two cannot be told
/// apart while the number of events for each call is steady.
const EVENT_CALLS: f64 = 0.1;
/// Time constant of the exponential decay, as for the cost of calls.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Minimum work for an estimate, in calls.
const CALLS_MIN: f64 = 20.0;

/// Estimates the processor time that an event takes, from the time spent on calls.
#[derive(Debug, Clone, Default)]
pub struct EventCost {
    /// Calls and events, in calls.
    calls: f64,
    busy_s: f64,
}

impl EventCost {
    /// Adds a load sample with the number of calls and events since the previous one.
    pub fn note(&mut self, sample: &LoadSample, calls: f64, events: f64) {
        let kept = (-sample.span.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.calls = self.calls * kept + calls + events * EVENT_CALLS;
        self.busy_s = self.busy_s * kept + sample.busy_with_calls.as_secs_f64();
    }

    /// Returns the processor time of an event in seconds; 0 while there is too little work.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::admission::EventCost;
    /// use damaskstile_gateway::load_sample::LoadSample;
    /// let mut cost = EventCost::default();
    /// let sample = LoadSample {
    ///     span: Duration::from_secs(1),
    ///     busy_with_calls: Duration::from_millis(200),
    ///     ..LoadSample::default()
    /// };
    /// cost.note(&sample, 100.0, 1_000.0);
    /// assert!((cost.per_event_s() - 0.000_1).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn per_event_s(&self) -> f64 {
        if self.calls < CALLS_MIN {
            0.0
        } else {
            self.busy_s / self.calls * EVENT_CALLS
        }
    }
}
