//! Decision on retries after a send to a target that yielded no answer for the caller.

use crate::send_end::SendEnd;

/// `Next` is the step after a failed send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Send the call to another target.
    Again,
    /// Tell the caller that the call has not run.
    Refuse,
    /// Tell the caller that the call may have run.
    GiveUp,
}

/// Maximum number of sends of a call that reach no target. Each of them costs a connection attempt.
const NOT_SENT_MAX: usize = 3;

/// `Attempts` counts the sends of one call.
#[derive(Debug, Clone, Default)]
pub struct Attempts {
    not_sent: usize,
    sent: usize,
    has_run: bool,
}

impl Attempts {
    /// Records the outcome of a send.
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

    /// Returns the number of sends that may have reached a target.
    #[must_use]
    pub fn sent(&self) -> usize {
        self.sent
    }

    /// Returns whether the call may have started to run on a target.
    #[must_use]
    pub fn has_run(&self) -> bool {
        self.has_run
    }

    /// Returns whether the route allows another send if the current one fails. If it does not,
    /// giving up on an unresponsive target ends the call.
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

    /// Decides on the next step. `may_retry` draws on the retry budget and is called only if
    /// another send counts as a retry.
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
        // A send that reached no target put no load on any, so repeating it is not a retry.
        if self.sent > 0 && !may_retry() {
            return end;
        }
        Next::Again
    }
}
