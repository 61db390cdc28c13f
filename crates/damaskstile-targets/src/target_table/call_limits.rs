//! Keeps the calls of all instances together within the call limits of cold targets and of those
//! that advertise one.

use damaskstile_core::prelude::*;

use super::TargetTable;
use crate::call_limit::CallLimit;
use crate::sender_turn::SenderTurn;
use crate::target_state::TargetState;

/// Time after its start in which an instance sends nothing to targets with a call limit. What its
/// predecessor sent within the same second counts too, and it knows few other instances yet.
const OWN_START: Duration = Duration::from_millis(1_100);

impl TargetTable {
    /// Tells whether the call limits of a target, if any apply, let this instance send a call now.
    pub(super) fn has_room(&self, now: Duration, state: &TargetState) -> bool {
        self.call_limits(now, state).all(|applied| {
            let calls = applied.limit.calls_of_sender(self.fleet.instances());
            self.is_past_start(now)
                && self.is_sender(state, applied)
                && state.has_limited_room(now, calls, applied.limit.counted_span())
        })
    }

    /// Returns the expected time until some instance may send to a target of a service again, if
    /// all usable targets have reached their call limits; `None` if one has not, or if none is
    /// usable.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert_eq!(table.time_until_room(Duration::ZERO, "s"), None);
    /// ```
    #[must_use]
    pub fn time_until_room(&self, now: Duration, service: &str) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        for state in self.usable(now, service) {
            if self.has_room(now, state) {
                if self.has_brittle_room(now, state) {
                    return None;
                }
                let wait = self.time_until_brittle_room(service).into_iter();
                shortest = wait.chain(shortest).min();
                continue;
            }
            let wait = self.call_limits(now, state).map(|applied| {
                let span = applied.limit.counted_span();
                // What other instances sent is unknown here; each of them may send again within a
                // span.
                state.limited_room_in(now, span).unwrap_or(span)
            });
            shortest = wait.chain(shortest).min();
        }
        shortest
    }

    /// Counts a call that is sent to an incarnation now against the target's call limits. Returns
    /// false if it may not be sent: since it was chosen, the target has begun to leave, was
    /// delisted, asked for a backoff, was replaced by another incarnation or reached a call limit.
    pub fn claim_send(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        if !self.may_send(now, identity) {
            return false;
        }
        let Some(state) = self.targets.get(&identity.target) else {
            return false;
        };
        let limits = self.call_limits(now, state);
        let span = limits.map(|applied| applied.limit.counted_span()).max();
        if let Some(span) = span
            && let Some(state) = self.targets.get_mut(&identity.target)
        {
            state.record_limited_send(now, span);
        }
        true
    }

    /// Tells whether a call limit applies to a target.
    pub(super) fn is_call_limited(&self, now: Duration, state: &TargetState) -> bool {
        self.call_limits(now, state).next().is_some()
    }

    /// Returns the call limits that apply to a target: that of cold targets while it is cold, and
    /// the one that it advertises.
    fn call_limits(
        &self,
        now: Duration,
        state: &TargetState,
    ) -> impl Iterator<Item = AppliedLimit> + use<> {
        // Most targets have no limit, and each selection checks all of its candidates.
        let is_cold = state.is_cold(now);
        let cold = is_cold.then(|| self.cold_limit(state)).flatten();
        let advertised = state.limit.and_then(|report| {
            let limit = report.limit()?;
            let turn = report.turn(now);
            Some(AppliedLimit { limit, turn })
        });
        cold.into_iter().chain(advertised)
    }

    fn cold_limit(&self, state: &TargetState) -> Option<AppliedLimit> {
        let limit = self.cold_limits.get(&state.listed.service)?.calls()?;
        Some(AppliedLimit { limit, turn: 0 })
    }

    fn is_past_start(&self, now: Duration) -> bool {
        self.started_at
            .is_none_or(|started_at| now.saturating_sub(started_at) >= OWN_START)
    }

    /// Tells whether this instance is among the few that may send to a target. This is determined
    /// when a call might go there, and again once the fleet view, the limits or the turn have
    /// changed.
    fn is_sender(&self, state: &TargetState, applied: AppliedLimit) -> bool {
        let senders = applied.limit.senders(self.fleet.instances());
        self.is_among_senders(state, senders, applied.turn)
    }

    /// Tells whether this instance is among so many that may send to a target in a turn.
    pub(super) fn is_among_senders(&self, state: &TargetState, senders: u64, turn: u64) -> bool {
        let turn = SenderTurn {
            fleet_state: self.fleet_state,
            senders,
            turn,
        };
        if let Some((cached_turn, is_sender)) = state.sender.get()
            && cached_turn == turn
        {
            return is_sender;
        }
        let target = state.listed.target.as_str();
        let is_sender = self
            .fleet
            .is_in_turn(&["sender", target], senders, turn.turn);
        state.sender.set(Some((turn, is_sender)));
        is_sender
    }
}

/// Call limit of a target, with the turn that decides which instances may send.
#[derive(Debug, Clone, Copy)]
struct AppliedLimit {
    limit: CallLimit,
    turn: u64,
}
