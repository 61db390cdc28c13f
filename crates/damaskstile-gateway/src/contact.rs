//! `contact` remembers when the store answered, to judge what its silence means.

use damaskstile_core::prelude::*;

/// Time after an outage in which the list of targets may still lack some that live. Their entries
/// come back within about two seconds; one that is missing after that is gone.
const AFTER_OUTAGE: Duration = Duration::from_secs(2);
/// Shortest time without an answer that counts as an outage in which entries lapse. They do so only
/// after several heartbeats, which are seconds. A single call that fails and the next one after its
/// pause take 0.6 to 0.7 s; taken for an outage, it would keep targets in use that were removed.
const OUTAGE_MIN: Duration = Duration::from_secs(1);

/// Length that an outage is expected to have before any was seen.
const OUTAGE_START: Duration = Duration::from_secs(5);
/// Longest outage that is learned from: one of hours tells callers nothing that they can wait for.
const OUTAGE_MAX: Duration = Duration::from_secs(15);
/// Shortest time that an outage is expected to go on, once it is longer than expected.
const OUTAGE_LEFT_MIN: Duration = Duration::from_secs(1);

/// `Contact` remembers when the store answered.
#[derive(Debug, Clone, Default)]
#[allow(clippy::struct_field_names)] // each is a time
pub struct Contact {
    answered_at: Option<Duration>,
    lost_at: Option<Duration>,
    failed_at: Option<Duration>,
    outage_ended_at: Option<Duration>,
    regained_at: Option<Duration>,
    /// Length that outages have, the later ones weighing most.
    outage_length: Option<Duration>,
}

impl Contact {
    /// Notes an answer; returns true where the store was lost before.
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
            self.outage_length = Some((before + length.min(OUTAGE_MAX)) / 2);
        }
        true
    }

    /// Notes a call without an answer; returns true where the store was not lost before.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.failed_at = Some(now);
        let is_new = self.lost_at.is_none();
        self.lost_at.get_or_insert(now);
        is_new
    }

    /// Tells whether the store is lost, or was so lately and so long that its list may lack targets
    /// that live.
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
                .is_some_and(|at| now.saturating_sub(at) < AFTER_OUTAGE)
    }

    /// Tells whether the last call failed so lately that another one would most likely fail too.
    #[must_use]
    pub fn is_backing_off(&self, now: Duration, pause: Duration) -> bool {
        self.failed_at
            .is_some_and(|at| now.saturating_sub(at) < pause)
    }

    /// Returns the time since the store answered again after an outage. A single call that failed
    /// is none: an instance that writes for others would keep them waiting after each.
    #[must_use]
    pub fn since_outage(&self, now: Duration) -> Option<Duration> {
        self.outage_ended_at.map(|at| now.saturating_sub(at))
    }

    /// Returns when the store last answered after a call without an answer.
    #[must_use]
    pub fn regained_at(&self) -> Option<Duration> {
        self.regained_at
    }

    /// Returns how long the outage under way is likely to go on, by those that were seen; `None`
    /// where the store answers.
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
        let expected = self.outage_length.unwrap_or(OUTAGE_START);
        Some(expected.saturating_sub(passed).max(OUTAGE_LEFT_MIN))
    }

    /// Returns the time since the last answer.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.answered_at.map(|at| now.saturating_sub(at))
    }

    /// Tells whether the last call got no answer.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }
}
