//! `stop_times` are the moments of a stop, fixed when the order comes.

use damaskstile_core::prelude::*;

/// Time for which an instance that is leaving still takes calls that will be over in time. The
/// balancer asks once a second and needs two refusals, so it knows after 2.2 s at most, and callers
/// on open connections learn of it with an answer. Later calls get a refusal, which costs little.
/// Callers may count on calls of the first three seconds; the tenth below that is for the time
/// until the order is seen here, which was 10 ms at most in the logs of an idle machine.
const LEAVING_TIME: Duration = Duration::from_millis(2_900);
/// Part of the stop's time that is left after the last call. All that no open call holds is handed
/// back by then, so what is left is one conditional write, and a second one after a conflict, of
/// some 20 ms each. Each tenth of a second more would cut off more calls.
const HAND_BACK_TIME: Duration = Duration::from_millis(300);
/// Largest part of the limit that this may be, one in so many: it counts where limits are short.
const HAND_BACK_PART: u32 = 20;

/// `StopTimes` are the moments of a stop, fixed when the order comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// When the order came.
    pub began_at: Duration,
    /// From when on no call is taken.
    pub closing_at: Duration,
    /// When calls that are still open are cut off.
    pub cut_at: Duration,
    /// When the process ends, whatever is not done.
    pub end_at: Duration,
}

impl StopTimes {
    /// Fixes the moments of a stop that must be over within a limit.
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
}
