//! Record of when the store answered, to detect outages and to estimate their length.

use damaskstile_core::prelude::*;

/// Time after an outage in which the list of targets may still lack some that are alive. Their
/// entries come back within about two seconds; one that is missing after that is gone.
const LIST_RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Shortest time without an answer that counts as an outage in which entries lapse. They lapse only
/// after several missed heartbeats, which takes seconds. A single failed call and the next one
/// after its backoff take 0.6 to 0.7 s; if that counted as an outage, targets that were removed
/// would stay in use.
const OUTAGE_MIN: Duration = Duration::from_secs(1);

/// Expected length of an outage before any has been observed.
const OUTAGE_LENGTH_DEFAULT: Duration = Duration::from_secs(5);
/// Cap on the observed length of an outage: one of hours is longer than any caller can usefully
/// wait.
const OUTAGE_LENGTH_MAX: Duration = Duration::from_secs(15);
/// Shortest expected remainder of an outage that has lasted longer than expected.
const OUTAGE_REMAINING_MIN: Duration = Duration::from_secs(1);

/// Record of when the store answered.
#[derive(Debug, Clone, Default)]
#[allow(clippy::struct_field_names)] // each is a time
pub struct Contact {
    answered_at: Option<Duration>,
    lost_at: Option<Duration>,
    failed_at: Option<Duration>,
    outage_ended_at: Option<Duration>,
    regained_at: Option<Duration>,
    /// Average length of outages, weighted towards recent ones.
    outage_length: Option<Duration>,
}

impl Contact {
    /// Records an answer; returns true if the store was unreachable before.
    pub fn answered(&mut self, now: Duration) -> bool {
        self.answered_at = Some(now);
        self.failed_at = None;
        let Some(lost_at) = self.lost_at.take() else {
            return false;
        };
        self.regained_at = Some(now);
        let length = now.saturating_sub(lost_at);
        if length >= OUTAGE_MIN {
            self.outage_ended_at = Some(now);
            let before = self.outage_length.unwrap_or(length);
            self.outage_length = Some((before + length.min(OUTAGE_LENGTH_MAX)) / 2);
        }
        true
    }

    /// Records a call without an answer; returns true if the store was reachable before.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.failed_at = Some(now);
        let is_new = self.lost_at.is_none();
        self.lost_at.get_or_insert(now);
        is_new
    }

    /// Returns whether the store is unreachable, or was so recently and for so long that its list
    /// may lack targets that are alive.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::contact::Contact;
    /// let mut contact = Contact::default();
    /// contact.failed(Duration::from_secs(1));
    /// contact.answered(Duration::from_secs(5));
    /// assert!(contact.is_around_outage(Duration::from_secs(6)));
    /// assert!(!contact.is_around_outage(Duration::from_secs(8)));
    /// ```
    #[must_use]
    pub fn is_around_outage(&self, now: Duration) -> bool {
        self.lost_at.is_some()
            || self
                .outage_ended_at
                .is_some_and(|at| now.saturating_sub(at) < LIST_RECOVERY_TIME)
    }

    /// Returns whether the last call failed within `pause`, so that another one would most likely
    /// fail too.
    #[must_use]
    pub fn is_backing_off(&self, now: Duration, pause: Duration) -> bool {
        self.failed_at
            .is_some_and(|at| now.saturating_sub(at) < pause)
    }

    /// Returns the time since the last outage ended. A single failed call is not an outage:
    /// otherwise an instance that writes for others would delay them after each failure.
    #[must_use]
    pub fn since_outage(&self, now: Duration) -> Option<Duration> {
        self.outage_ended_at.map(|at| now.saturating_sub(at))
    }

    /// Returns when the store last answered after a failed call.
    #[must_use]
    pub fn regained_at(&self) -> Option<Duration> {
        self.regained_at
    }

    /// Returns the expected remaining length of the current outage, based on earlier ones; `None`
    /// if the store answers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::contact::Contact;
    /// let mut contact = Contact::default();
    /// contact.failed(Duration::from_secs(10));
    /// assert_eq!(contact.outage_left(Duration::from_secs(12)), Some(Duration::from_secs(3)));
    /// ```
    #[must_use]
    pub fn outage_left(&self, now: Duration) -> Option<Duration> {
        let passed = now.saturating_sub(self.lost_at?);
        let expected = self.outage_length.unwrap_or(OUTAGE_LENGTH_DEFAULT);
        Some(expected.saturating_sub(passed).max(OUTAGE_REMAINING_MIN))
    }

    /// Returns the time since the last answer.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the last call got no answer.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }
}
