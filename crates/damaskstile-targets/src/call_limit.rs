//! `call_limit` says how a limit of calls is shared among instances.

use damaskstile_core::prelude::*;

/// Part of a limit that is used: clocks of instances and the way to a target differ.
const USED_PART: f64 = 0.8;
/// Instances that may send to one target that bears few calls.
const SENDERS_MAX: u64 = 18;
/// Span in which calls are counted: a second, and what timers may be late.
const COUNTED_SPAN: Duration = Duration::from_millis(1_020);
/// Longest such span. A target that names a lower limit still gets a call now and then, without
/// which nobody would learn that the limit is over.
const COUNTED_SPAN_MAX: Duration = Duration::from_secs(10);

/// `CallLimit` is a limit of the calls that all instances together may send to one target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CallLimit {
    /// Calls that the target may get within any second.
    pub calls_per_s: f64,
}

impl CallLimit {
    /// Returns the instances that may send to the target.
    ///
    /// ```
    /// use damaskstile_targets::CallLimit;
    /// let limit = CallLimit { calls_per_s: 11.0 };
    /// assert_eq!(limit.senders(3), 3);
    /// assert_eq!(limit.senders(300), 8);
    /// ```
    #[must_use]
    pub fn senders(&self, instances: u64) -> u64 {
        instances.min(self.used_calls()).clamp(1, SENDERS_MAX)
    }

    /// Returns the calls that each of the senders may send within the counted span.
    ///
    /// ```
    /// use damaskstile_targets::CallLimit;
    /// let limit = CallLimit { calls_per_s: 11.0 };
    /// assert_eq!(limit.calls_of_sender(3), 2);
    /// assert_eq!(limit.calls_of_sender(300), 1);
    /// ```
    #[must_use]
    pub fn calls_of_sender(&self, instances: u64) -> usize {
        let calls = self.used_calls() / self.senders(instances);
        usize::try_from(calls.max(1)).unwrap_or(usize::MAX)
    }

    /// Returns the span in which the calls of a sender are counted: longer than a second where the
    /// target bears less than a call a second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::CallLimit;
    /// assert!(CallLimit { calls_per_s: 0.5 }.counted_span() > Duration::from_secs(2));
    /// ```
    #[must_use]
    pub fn counted_span(&self) -> Duration {
        let used_part = (self.calls_per_s * USED_PART).clamp(0.0, 1.0);
        Duration::try_from_secs_f64(COUNTED_SPAN.as_secs_f64() / used_part)
            .map_or(COUNTED_SPAN_MAX, |span| span.min(COUNTED_SPAN_MAX))
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // negative becomes 0
    fn used_calls(self) -> u64 {
        (self.calls_per_s * USED_PART) as u64
    }
}
