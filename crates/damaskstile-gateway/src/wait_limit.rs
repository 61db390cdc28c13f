//! Wait limit for a silent target.

use damaskstile_core::prelude::*;
use damaskstile_requests::Attempts;

use crate::gateway::Gateway;
use crate::outbound_call::OutboundCall;
use crate::state::Terms;

/// Shortest wait before a repeatable call is sent to another target. With less, a long prompt ahead
/// in the target's batch would be taken for silence.
const WAIT_LIMIT_MIN: Duration = Duration::from_secs(1);

/// Decides how long to wait for a silent target: until the call's deadline, or shorter if another
/// target is available.
#[derive(Debug)]
pub struct WaitLimit<'a> {
    /// State shared by all background tasks of the instance.
    pub gateway: &'a Gateway,
    /// The call.
    pub call: &'a OutboundCall,
    /// Route, service and account of the call.
    pub terms: &'a Terms,
    /// Outcomes of the sends before the current one.
    pub attempts: &'a Attempts,
    /// Targets that the call was sent to.
    pub tried: &'a [TargetId],
    /// Time by which the call must be answered.
    pub deadline: Duration,
    /// Start of the call, if another run would resume its stream; `None` if it would start over, in
    /// which case its expected duration counts from the time of the send.
    pub resumes_from: Option<Duration>,
}

impl WaitLimit<'_> {
    /// Returns the time until which the target may stay silent before another one is considered.
    #[must_use]
    pub fn until(&self) -> Duration {
        let now = self.gateway.now();
        let until = now + (self.terms.route.objective * 3).max(WAIT_LIMIT_MIN);
        if until < self.deadline && self.has_successor(until) {
            until
        } else {
            self.deadline
        }
    }

    /// Returns whether another target is available now. Checked again when the wait limit has
    /// passed: the situation may have changed since the call was sent, and giving up the target
    /// without a successor would end the call.
    #[must_use]
    pub fn has_successor_now(&self) -> bool {
        self.has_successor(self.gateway.now())
    }

    /// Returns whether another target is available now if the current one is not sent the call.
    #[must_use]
    pub fn has_other_target_now(&self) -> bool {
        self.attempts.allow_another_connection() && self.has_target(self.gateway.now())
    }

    fn has_successor(&self, at: Duration) -> bool {
        allows_another_send(self.terms, self.attempts) && self.has_target(at)
    }

    fn has_target(&self, at: Duration) -> bool {
        let (gateway, terms) = (self.gateway, self.terms);
        let began_at = self.resumes_from.unwrap_or(at);
        let now = gateway.now();
        gateway.finishes_in_time(&terms.route.name, began_at, self.deadline)
            && !self.is_quarantined()
            && gateway
                .state()
                .has_successor(now, &terms.service, &self.call.work, self.tried)
    }

    fn is_quarantined(&self) -> bool {
        let account = self.terms.account.as_deref();
        self.gateway
            .quarantine_refusal(self.call, account)
            .is_some()
    }
}

/// Returns whether the route allows another send after the current one.
pub(crate) fn allows_another_send(terms: &Terms, attempts: &Attempts) -> bool {
    attempts.allow_another(terms.route.kind.is_repeatable(), terms.route.attempts_max)
}
