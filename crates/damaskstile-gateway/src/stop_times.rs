//! `stop_times` are the moments of a stop, fixed when the order comes.

use damaskstile_core::prelude::*;

/// Time for which an instance that is leaving still takes what comes. The balancer asks once a
/// second and needs two refusals, and callers on open connections learn of it with an answer.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);
/// Part of the stop's time that is left for handing back tokens.
const HAND_BACK_TIME: Duration = Duration::from_millis(900);

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
            cut_at: began_at + limit.saturating_sub(HAND_BACK_TIME),
            end_at: began_at + limit,
        }
    }
}
