//! Decides which new connections are closed unread because other instances have more room.

use damaskstile_core::prelude::*;

use crate::member::Member;
use crate::neighbours::{REPORT_AGE_MAX, reports_of_all};

/// Utilisation up to which a peer has room for the callers of others.
const ROOM_SHARE_MAX: f64 = 0.5;
/// Wait from which on new connections are closed. What is accepted until then has still to be read
/// and must not wait longer than calls may.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_millis(125);
/// Longest time without an accepted connection. A balancer takes an instance that accepts none for
/// dead.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(500);

/// Decides which new connections are closed unread.
///
/// A balancer may hand most new connections to one instance. What that cannot serve in time is
/// better not read at all: the caller knows that nothing has run and tries again at once, at another
/// instance. Where the others have no room either, a refusal that says when to come back is better.
#[derive(Debug, Clone, Default)]
pub struct ConnectionShedding {
    accepted_at: Duration,
}

impl ConnectionShedding {
    /// Returns whether a new connection is closed unread. `wait` is the time that a call would wait
    /// here now; `has_room` tells whether most peers have room.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::connection_shedding::ConnectionShedding;
    /// let mut shedding = ConnectionShedding::default();
    /// let (now, wait) = (Duration::from_secs(9), Duration::from_secs(1));
    /// assert!(!shedding.closes(now, wait, true));
    /// assert!(shedding.closes(now, wait, true));
    /// assert!(!shedding.closes(now, wait, false));
    /// ```
    pub fn closes(&mut self, now: Duration, wait: Duration, has_room: bool) -> bool {
        let is_due = now.saturating_sub(self.accepted_at) >= ACCEPT_INTERVAL;
        let closes = wait > WAIT_LIMIT && has_room && !is_due;
        if !closes {
            self.accepted_at = now;
        }
        closes
    }
}

/// Returns whether most of the instances that lately reported their load have room: those of the
/// data centre, at which its callers try again, or all if there is no other one in it.
pub fn have_room<'a>(
    now: Duration,
    data_centre: &str,
    members: impl Iterator<Item = &'a Member>,
) -> bool {
    let (near, far): (Vec<_>, Vec<_>) = reports_of_all(now, members, REPORT_AGE_MAX)
        .partition(|(member, _)| member.data_centre == data_centre);
    let others = if near.is_empty() { far } else { near };
    let with_room = others
        .iter()
        .filter(|(_, load)| load.is_in_rotation && load.share <= ROOM_SHARE_MAX);
    with_room.count() * 2 > others.len()
}
