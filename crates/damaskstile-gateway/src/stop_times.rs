//! Schedule of a shutdown, fixed when the signal arrives.

use damaskstile_core::prelude::*;

/// Time for which an instance that is shutting down still accepts calls that will finish in time.
/// The balancer polls readiness once a second and needs two failures, so it knows after 2.2 s at
/// most; callers on open connections learn of it from the next answer. Later calls are refused,
/// which costs little. Callers may rely on calls of the first three seconds being accepted; the
/// tenth of a second below that covers the delay until the signal is handled, at most 10 ms in the
/// logs of an idle machine.
const LEAVING_TIME: Duration = Duration::from_millis(2_900);
/// Time reserved at the end of a shutdown, after the last call. Everything that no open call holds
/// has been handed back by then, so what is left is one conditional write, and a second one after a
/// conflict, of some 20 ms each. Each further tenth of a second would cut off more calls.
const HAND_BACK_TIME: Duration = Duration::from_millis(300);
/// Upper bound of that time as a fraction of the shutdown limit (one in this many); applies where
/// the limit is short.
const HAND_BACK_PART: u32 = 20;

/// Delay of the signal that [`LEAVING_TIME`] allows for.
const USUAL_DELAY: Duration = Duration::from_millis(100);
/// Earliest time at which calls are cut off, in percent of the shutdown limit. Callers accept that
/// only in the last sixth of the time until the process is killed, which is a little longer than the
/// limit.
const EARLIEST_CUT_PERCENT: u32 = 90;

/// Schedule of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// When the shutdown signal arrived.
    pub began_at: Duration,
    /// From when on no new call is accepted.
    pub closing_at: Duration,
    /// When calls that are still open are cut off.
    pub cut_at: Duration,
    /// When the process ends, even if work is left.
    pub end_at: Duration,
}

impl StopTimes {
    /// Computes the schedule of a shutdown that must complete within `limit`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::stop_times::StopTimes;
    /// let times = StopTimes::new(Duration::ZERO, Duration::from_secs(8));
    /// assert!(times.closing_at < times.cut_at && times.cut_at < times.end_at);
    /// ```
    #[must_use]
    pub fn new(began_at: Duration, limit: Duration) -> Self {
        Self {
            began_at,
            closing_at: began_at + LEAVING_TIME.min(limit / 2),
            cut_at: began_at + limit.saturating_sub(HAND_BACK_TIME.min(limit / HAND_BACK_PART)),
            end_at: began_at + limit,
        }
    }

    /// Brings the schedule forward for a signal that may have been sent up to `delay_max` before it
    /// was handled. The platform and the callers count from when it was sent, but calls that were
    /// accepted keep their time if it was sent just now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::stop_times::StopTimes;
    /// let prompt = StopTimes::new(Duration::ZERO, Duration::from_secs(8));
    /// let late = prompt.brought_forward(Duration::from_millis(500));
    /// assert!(late.closing_at < prompt.closing_at && late.end_at < prompt.end_at);
    /// ```
    #[must_use]
    pub fn brought_forward(self, delay_max: Duration) -> Self {
        let delay = delay_max.saturating_sub(USUAL_DELAY);
        let limit = self.end_at.saturating_sub(self.began_at);
        let earliest_cut_at = self.began_at + limit * EARLIEST_CUT_PERCENT / 100;
        let cut_at = self.cut_at.saturating_sub(delay);
        let cut_at = cut_at.max(earliest_cut_at).min(self.cut_at);
        Self {
            began_at: self.began_at,
            closing_at: self.closing_at.saturating_sub(delay).max(self.began_at),
            cut_at,
            end_at: cut_at + self.end_at.saturating_sub(self.cut_at),
        }
    }
}
