//! Shares a call limit among instances.

use damaskstile_core::prelude::*;

/// Share of a limit that is used: the clocks of instances differ, and so does the time on the way
/// to a target.
const USED_SHARE: f64 = 0.8;
/// Most instances that may send to one target with a call limit.
const SENDERS_MAX: u64 = 18;
/// Span in which calls are counted: a second, and the lateness of timers.
const COUNTED_SPAN: Duration = Duration::from_millis(1_020);
/// Longest counted span. A target that advertises a lower limit still gets an occasional call,
/// without which no instance would learn that the limit has ended.
const COUNTED_SPAN_MAX: Duration = Duration::from_secs(10);

/// Limit of the calls that all instances together may send to one target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CallLimit {
    /// Calls that the target may receive within any second.
    pub calls_per_s: f64,
}

impl CallLimit {
    /// Returns the number of instances that may send to the target.
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

    /// Returns the calls that each sender may send within the counted span.
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

    /// Returns the span in which a sender's calls are counted: longer than a second if the used
    /// share of the limit is less than one call a second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::CallLimit;
    /// assert!(CallLimit { calls_per_s: 0.5 }.counted_span() > Duration::from_secs(2));
    /// ```
    #[must_use]
    pub fn counted_span(&self) -> Duration {
        let used_share = (self.calls_per_s * USED_SHARE).clamp(0.0, 1.0);
        Duration::try_from_secs_f64(COUNTED_SPAN.as_secs_f64() / used_share)
            .map_or(COUNTED_SPAN_MAX, |span| span.min(COUNTED_SPAN_MAX))
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // negative becomes 0
    fn used_calls(self) -> u64 {
        (self.calls_per_s * USED_SHARE) as u64
    }
}
