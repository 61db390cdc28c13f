//! `patience` tells how long a silent target is waited for.

use damaskstile_core::prelude::*;
use damaskstile_requests::Attempts;

use crate::gateway::Gateway;
use crate::sendable::Sendable;
use crate::state::Terms;

/// Shortest time that a target is given before a repeatable call goes to another one. Below it a
/// long prompt ahead in the batch would be taken for silence.
const PATIENCE_MIN: Duration = Duration::from_secs(1);

/// `Patience` tells how long a silent target is waited for: as long as the call has time, unless
/// another target could follow.
#[derive(Debug)]
pub struct Patience<'a> {
    /// What is shared by all duties.
    pub gateway: &'a Gateway,
    /// The call.
    pub call: &'a Sendable,
    /// What holds for it.
    pub terms: &'a Terms,
    /// The sends before the one under way.
    pub attempts: &'a Attempts,
    /// Targets that the call was sent to.
    pub tried: &'a [TargetId],
    /// When the call must be answered.
    pub deadline: Duration,
    /// When the call began, where another run would only go on with its stream; a run from the
    /// beginning is counted from when it would be sent.
    pub goes_on_from: Option<Duration>,
}

impl Patience<'_> {
    /// Returns until when the target may be silent before anything else is thought of.
    #[must_use]
    pub fn until(&self) -> Duration {
        let now = self.gateway.now();
        let until = now + (self.terms.route.objective * 3).max(PATIENCE_MIN);
        if until < self.deadline && self.is_followed(until) {
            until
        } else {
            self.deadline
        }
    }

    /// Tells whether another target could follow now. Asked when the patience is over: what held
    /// when the call was sent may not hold any more, and giving the target up would end the call.
    #[must_use]
    pub fn is_followed_now(&self) -> bool {
        self.is_followed(self.gateway.now())
    }

    fn is_followed(&self, at: Duration) -> bool {
        let (gateway, terms) = (self.gateway, self.terms);
        let began_at = self.goes_on_from.unwrap_or(at);
        let now = gateway.now();
        allows_another(terms, self.attempts)
            && gateway.is_over_in_time(&terms.route.name, began_at, self.deadline)
            && !self.is_barred()
            && gateway
                .state()
                .has_successor(now, &terms.service, &self.call.work, self.tried)
    }

    fn is_barred(&self) -> bool {
        let account = self.terms.account.as_deref();
        self.gateway.barred(self.call, account).is_some()
    }
}

/// Tells whether the route allows another send after the one under way.
pub(crate) fn allows_another(terms: &Terms, attempts: &Attempts) -> bool {
    attempts.allow_another(terms.route.kind.is_repeatable(), terms.route.attempts_max)
}
