//! `attempts` decides what follows when a send to a target brought no answer for the caller.

use crate::send_end::SendEnd;

/// `Next` is what follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send it to another target.
    Again,
    /// Tell the caller that it has not run.
    Refuse,
    /// Tell the caller that it may have run.
    GiveUp,
}

/// Sends that reached nobody before a call is refused. Each has cost one attempt to connect.
const NOT_SENT_MAX: usize = 3;

/// `Attempts` counts the sends of one call.
#[derive(Debug, Clone, Default)]
pub struct Attempts {
    not_sent: usize,
    sent: usize,
    has_run: bool,
}

impl Attempts {
    /// Notes how a send ended.
    pub fn note(&mut self, end: SendEnd) {
        match end {
            SendEnd::NotSent => self.not_sent += 1,
            SendEnd::NotRun => self.sent += 1,
            SendEnd::Unknown | SendEnd::Broken | SendEnd::Failed => {
                self.sent += 1;
                self.has_run = true;
            }
        }
    }

    /// Returns the sends that may have reached a target.
    #[must_use]
    pub fn sent(&self) -> usize {
        self.sent
    }

    /// Tells whether a run may have begun.
    #[must_use]
    pub fn has_run(&self) -> bool {
        self.has_run
    }

    /// Tells whether the route allows another send after the one under way, should that fail. Where
    /// it does not, giving up on a silent target ends the call.
    ///
    /// ```
    /// use damaskstile_requests::{Attempts, SendEnd};
    /// let mut attempts = Attempts::default();
    /// assert!(attempts.allow_another(true, 2));
    /// attempts.note(SendEnd::Unknown);
    /// assert!(!attempts.allow_another(true, 2));
    /// ```
    #[must_use]
    pub fn allow_another(&self, is_repeatable: bool, attempts_max: usize) -> bool {
        is_repeatable && self.sent + 1 < attempts_max
    }

    /// Decides what follows. `may_retry` asks the fleet's budget of retries and is called only
    /// where another send would draw on it.
    ///
    /// ```
    /// use damaskstile_requests::{Attempts, Next, SendEnd};
    /// let mut attempts = Attempts::default();
    /// attempts.note(SendEnd::Unknown);
    /// assert_eq!(attempts.next(false, 2, || true), Next::GiveUp);
    /// assert_eq!(attempts.next(true, 2, || true), Next::Again);
    /// ```
    pub fn next(
        &self,
        is_repeatable: bool,
        attempts_max: usize,
        may_retry: impl FnOnce() -> bool,
    ) -> Next {
        let end = if self.has_run {
            Next::GiveUp
        } else {
            Next::Refuse
        };
        if self.has_run && !is_repeatable {
            return Next::GiveUp;
        }
        if self.sent >= attempts_max || self.not_sent >= NOT_SENT_MAX {
            return end;
        }
        // A send that reached nobody puts no load on targets, so its repeat is not a retry.
        if self.sent > 0 && !may_retry() {
            return end;
        }
        Next::Again
    }
}
