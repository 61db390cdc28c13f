//! `call_cost` learns how much of the processor's time a call takes.

use damaskstile_core::prelude::*;

use crate::look::Look;

/// Time after which what was seen counts a third as much. Calls last for seconds, and what they take
/// is to be shared among as many as came in that time.
const MEMORY: Duration = Duration::from_secs(5);
/// Calls from which on what they took together says what one takes.
const CALLS_MIN: f64 = 20.0;

/// `CallCost` learns how much of the processor's time a call takes, all of its events with it.
#[derive(Debug, Clone, Default)]
pub struct CallCost {
    calls: f64,
    busy_s: f64,
    otherwise_s: f64,
    span_s: f64,
}

impl CallCost {
    /// Takes in a look, and how many calls came since the one before.
    pub fn note(&mut self, look: &Look, calls: f64) {
        let kept = (-look.span.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.calls = self.calls * kept + calls;
        self.busy_s = self.busy_s * kept + look.busy_with_calls.as_secs_f64();
        self.otherwise_s = self.otherwise_s * kept + look.busy_otherwise.as_secs_f64();
        self.span_s = self.span_s * kept + look.span.as_secs_f64();
    }

    /// Returns the seconds that a call takes; 0 while too few were seen.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::call_cost::CallCost;
    /// use damaskstile_gateway::look::Look;
    /// let mut cost = CallCost::default();
    /// let look = Look {
    ///     span: Duration::from_secs(1),
    ///     busy_with_calls: Duration::from_millis(200),
    ///     ..Look::default()
    /// };
    /// cost.note(&look, 100.0);
    /// assert!((cost.of_call_s() - 0.002).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn of_call_s(&self) -> f64 {
        if self.calls < CALLS_MIN {
            0.0
        } else {
            self.busy_s / self.calls
        }
    }

    /// Returns the part of the processor's time that all else takes.
    #[must_use]
    pub fn otherwise(&self) -> f64 {
        if self.span_s > 0.0 {
            (self.otherwise_s / self.span_s).min(1.0)
        } else {
            0.0
        }
    }
}
