//! Newest known state of the limit that a target advertises.

use damaskstile_core::prelude::*;

use crate::call_limit::CallLimit;

/// Time without a new report after which other instances take over from the current senders, which
/// may have ended. In a large fleet a report takes seconds to reach all instances.
const TURN_MIN: Duration = Duration::from_secs(10);
/// Relative change from which a limit counts as changed.
const CHANGE_SHARE: f64 = 0.1;

/// Newest known state of the limit that a target advertises.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    /// Calls a second from all instances together; `None` if the target no longer advertises a
    /// limit.
    pub calls_per_s: Option<f64>,
    /// When an answer advertised it. If the limit has ended: when the call was sent whose answer
    /// carried none.
    pub at: Duration,
}

impl LimitReport {
    /// Returns the limit; `None` if it has ended.
    #[must_use]
    pub fn limit(&self) -> Option<CallLimit> {
        self.calls_per_s
            .map(|calls_per_s| CallLimit { calls_per_s })
    }

    /// Tells whether both state about the same limit.
    #[must_use]
    pub fn is_like(&self, other: &Self) -> bool {
        match (self.calls_per_s, other.calls_per_s) {
            (Some(one), Some(other)) => (one - other).abs() <= one.max(other) * CHANGE_SHARE,
            (None, None) => true,
            _ => false,
        }
    }

    /// Returns the number of the group of senders whose turn it is. The first group sends for as
    /// long as answers advertise the limit, then one group follows another. Any answer that
    /// advertises the limit, at whichever instance, returns the turn to the first group.
    #[must_use]
    pub fn turn(&self, now: Duration) -> u64 {
        let span = self
            .limit()
            .map_or(Duration::ZERO, |limit| limit.counted_span());
        let turn_ms = TURN_MIN.max(span * 2).as_millis();
        let turns = now.saturating_sub(self.at).as_millis() / turn_ms;
        u64::try_from(turns).unwrap_or(u64::MAX)
    }
}
