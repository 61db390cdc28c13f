//! Keeps the calls of all instances together within the call limits of cold targets and of those
//! that advertise one.

use damaskstile_core::prelude::*;

use super::Book;
use crate::call_limit::CallLimit;
use crate::known::Known;
use crate::sender_turn::SenderTurn;

/// Time after its start in which an instance sends nothing to targets with a call limit. What its
/// predecessor sent within the same second counts too, and it knows few other instances yet.
const OWN_START: Duration = Duration::from_millis(1_100);

impl Book {
    /// Tells whether the call limits of a target, if any apply, let this instance send a call now.
    pub(super) fn has_place(&self, now: Duration, known: &Known) -> bool {
        self.paces(now, known).all(|pace| {
            let calls = pace.limit.calls_of_sender(self.fleet.instances());
            self.is_past_start(now)
                && self.is_sender(known, pace)
                && known.has_paced_place(now, calls, pace.limit.counted_span())
        })
    }

    /// Returns the expected time until some instance may send to a target of a service again, if
    /// all usable targets have reached their call limits; `None` if one has not, or if none is
    /// usable.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{Book, BookOptions};
    /// let book = Book::new("north", BookOptions::default());
    /// assert_eq!(book.place_in(Duration::ZERO, "s"), None);
    /// ```
    #[must_use]
    pub fn place_in(&self, now: Duration, service: &str) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        for known in self.usable(now, service) {
            if self.has_place(now, known) {
                return None;
            }
            let wait = self.paces(now, known).map(|pace| {
                let span = pace.limit.counted_span();
                // What other instances sent is unknown here; each of them may send again within a
                // span.
                known.paced_place_in(now, span).unwrap_or(span)
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
        let Some(known) = self.targets.get(&identity.target) else {
            return false;
        };
        let paces = self.paces(now, known);
        let span = paces.map(|pace| pace.limit.counted_span()).max();
        if let Some(span) = span
            && let Some(known) = self.targets.get_mut(&identity.target)
        {
            known.note_paced_send(now, span);
        }
        true
    }

    /// Tells whether a call limit applies to a target.
    pub(super) fn is_paced(&self, now: Duration, known: &Known) -> bool {
        self.paces(now, known).next().is_some()
    }

    /// Returns the call limits that apply to a target: that of cold targets while it is cold, and
    /// the one that it advertises.
    fn paces(&self, now: Duration, known: &Known) -> impl Iterator<Item = Pace> + use<> {
        // Most targets have no limit, and each selection checks all of its candidates.
        let is_cold = known.is_cold(now);
        let cold = is_cold.then(|| self.cold_pace(known)).flatten();
        let named = known.limit.and_then(|word| {
            let limit = word.limit()?;
            let turn = word.turn(now);
            Some(Pace { limit, turn })
        });
        cold.into_iter().chain(named)
    }

    fn cold_pace(&self, known: &Known) -> Option<Pace> {
        let limit = self.cold_limits.get(&known.listed.service)?.calls()?;
        Some(Pace { limit, turn: 0 })
    }

    fn is_past_start(&self, now: Duration) -> bool {
        self.started_at
            .is_none_or(|started_at| now.saturating_sub(started_at) >= OWN_START)
    }

    /// Tells whether this instance is among the few that may send to a target. This is determined
    /// when a call might go there, and again once the fleet view, the limits or the turn have
    /// changed.
    fn is_sender(&self, known: &Known, pace: Pace) -> bool {
        let senders = pace.limit.senders(self.fleet.instances());
        let turn = SenderTurn {
            fleet_state: self.fleet_state,
            senders,
            turn: pace.turn,
        };
        if let Some((known_turn, is_sender)) = known.sender.get()
            && known_turn == turn
        {
            return is_sender;
        }
        let target = known.listed.target.as_str();
        let is_sender = self
            .fleet
            .is_in_turn(&["sender", target], senders, pace.turn);
        known.sender.set(Some((turn, is_sender)));
        is_sender
    }
}

/// Call limit of a target, with the turn that decides which instances may send.
#[derive(Debug, Clone, Copy)]
struct Pace {
    limit: CallLimit,
    turn: u64,
}
