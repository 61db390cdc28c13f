//! Decision on retries after a send to a target that yielded no answer for the caller.

use crate::send_failure_kind::SendFailureKind;

/// `NextStep` is the step after a failed send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the call to another target.
    Retry,
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
    may_have_run: bool,
}

impl Attempts {
    /// Records the outcome of a send.
    pub fn note(&mut self, end: SendFailureKind) {
        match end {
            SendFailureKind::NotSent => self.not_sent += 1,
            SendFailureKind::NotRun => self.sent += 1,
            SendFailureKind::Unknown | SendFailureKind::Broken | SendFailureKind::Failed => {
                self.sent += 1;
                self.may_have_run = true;
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
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns whether the route allows another send if the current one fails. If it does not,
    /// giving up on an unresponsive target ends the call.
    ///
    /// ```
    /// use damaskstile_requests::{Attempts, SendFailureKind};
    /// let mut attempts = Attempts::default();
    /// assert!(attempts.allow_another(true, 2));
    /// attempts.note(SendFailureKind::Unknown);
    /// assert!(!attempts.allow_another(true, 2));
    /// ```
    #[must_use]
    pub fn allow_another(&self, is_repeatable: bool, attempts_max: usize) -> bool {
        is_repeatable && self.sent + 1 < attempts_max
    }

    /// Returns whether another target may be tried if the current one cannot be connected. Nothing
    /// is sent to it then, so the limit of sends does not apply.
    ///
    /// ```
    /// use damaskstile_requests::{Attempts, SendFailureKind};
    /// let mut attempts = Attempts::default();
    /// attempts.note(SendFailureKind::NotSent);
    /// assert!(attempts.allow_another_connection());
    /// attempts.note(SendFailureKind::NotSent);
    /// assert!(!attempts.allow_another_connection());
    /// ```
    #[must_use]
    pub fn allow_another_connection(&self) -> bool {
        self.not_sent + 1 < NOT_SENT_MAX
    }

    /// Decides on the next step. `may_retry` draws on the retry budget and is called only if
    /// another send counts as a retry.
    ///
    /// ```
    /// use damaskstile_requests::{Attempts, NextStep, SendFailureKind};
    /// let mut attempts = Attempts::default();
    /// attempts.note(SendFailureKind::Unknown);
    /// assert_eq!(attempts.next(false, 2, || true), NextStep::GiveUp);
    /// assert_eq!(attempts.next(true, 2, || true), NextStep::Retry);
    /// ```
    pub fn next(
        &self,
        is_repeatable: bool,
        attempts_max: usize,
        may_retry: impl FnOnce() -> bool,
    ) -> NextStep {
        let end = if self.may_have_run {
            NextStep::GiveUp
        } else {
            NextStep::Refuse
        };
        if self.may_have_run && !is_repeatable {
            return NextStep::GiveUp;
        }
        if self.sent >= attempts_max || self.not_sent >= NOT_SENT_MAX {
            return end;
        }
        // A send that reached no target put no load on any, so repeating it is not a retry.
        if self.sent > 0 && !may_retry() {
            return end;
        }
        NextStep::Retry
    }
}
