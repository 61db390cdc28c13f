//! `limit_word` is the newest that an instance knows of the limit that a target names.

use damaskstile_core::prelude::*;

use crate::call_limit::CallLimit;

/// Time without a new word after which other instances take over from those that may send: they
/// may have ended. In a large fleet it takes seconds until all have heard of a word.
const TURN_MIN: Duration = Duration::from_secs(10);
/// Part by which a limit must change to be news.
const NEWS_PART: f64 = 0.1;

/// `LimitWord` is the newest that an instance knows of the limit that a target names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitWord {
    /// Calls a second of all instances together; `None` where the target names no limit any more.
    pub calls_per_s: Option<f64>,
    /// When an answer named it. Where none does any more, when the call was sent whose answer
    /// named none.
    pub at: Duration,
}

impl LimitWord {
    /// Returns the limit; `None` where it is over.
    #[must_use]
    pub fn limit(&self) -> Option<CallLimit> {
        self.calls_per_s
            .map(|calls_per_s| CallLimit { calls_per_s })
    }

    /// Tells whether it says about the same as another word.
    #[must_use]
    pub fn is_like(&self, other: &Self) -> bool {
        match (self.calls_per_s, other.calls_per_s) {
            (Some(one), Some(other)) => (one - other).abs() <= one.max(other) * NEWS_PART,
            (None, None) => true,
            _ => false,
        }
    }

    /// Returns whose turn it is to send, in groups of as many instances as may send: the first for
    /// as long as answers name the limit, then one after the other. A call that is answered, by
    /// whomever, begins anew with the first.
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
