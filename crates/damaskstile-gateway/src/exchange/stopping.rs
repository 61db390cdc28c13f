//! `stopping` keeps calls from beginning what a stop would cut off.

use damaskstile_core::prelude::*;
use http::Response;

use super::Exchange;
use crate::phase::Phase;
use crate::reply::{RETRY_AT_ONCE, RETRY_LATER, Refusal, ReplyBody};

impl Exchange {
    pub(super) fn stopping(&self) -> Refusal {
        Refusal::not_run(RefusalCode::Stopping, Some(self.stopping_wait()))
    }

    /// Returns when a caller that a stop refuses should come back. Most ask only once more; where
    /// most instances stop together, at once would be lost on the next one that refuses (worth of
    /// such a day in trials: 0.66 and 0.65 at once, 0.71 and 0.71 later).
    pub(super) fn stopping_wait(&self) -> Duration {
        let now = self.gateway.now();
        if self.gateway.state().are_most_peers_stopping(now) {
            RETRY_LATER
        } else {
            RETRY_AT_ONCE
        }
    }

    /// Tells whether a stop has come so far that no call is taken.
    pub(super) fn is_closing(&self) -> bool {
        *self.gateway.phase.borrow() >= Phase::Closing
    }

    /// Tells whether a run that begins now can be expected to be over before a stop would cut it
    /// off. Without this a stream that is taken seconds after the order would be cut.
    pub(super) fn is_over_in_time(&self) -> bool {
        let now = self.gateway.now();
        let route = &self.terms.route.name;
        self.gateway.is_over_in_time(route, now, self.deadline)
    }

    /// Answers a call that a stop cannot wait for. A caller without an answer would not know
    /// whether it may ask again.
    pub(super) fn cut(&mut self) -> Response<ReplyBody> {
        if self.is_sending || self.attempts.has_run() {
            let response = self.refuse(&Refusal::unknown(RefusalCode::Stopping));
            self.record.end(EventCode::CallCut, "cut_by_stop");
            response
        } else {
            let refusal = self.stopping();
            self.refuse(&refusal)
        }
    }

    /// Notes how long the call lasted.
    pub(super) fn note_time(&self) {
        let now = self.gateway.now();
        let took = now.saturating_sub(self.record.began_at());
        let route = &self.terms.route.name;
        self.gateway.state().call_times.note(route, took);
    }
}
