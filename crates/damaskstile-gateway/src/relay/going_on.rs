//! `going_on` has a stream go on at another target.

use damaskstile_core::prelude::*;
use damaskstile_requests::{Next, SendEnd};

use super::Relay;
use crate::broken_run::BrokenRun;
use crate::events::EventCutter;
use crate::exchange::{patience, plan_next};
use crate::run;
use crate::send;

impl Relay {
    /// Tells whether the stream may go on at another target: the route allows it, and no stop
    /// would cut it off there. While it may not, a target's silence is waited out.
    pub(super) fn may_go_on(&self) -> bool {
        let (route, began_at) = (&self.terms.route, self.record.began_at());
        let is_over_in_time = || {
            self.gateway
                .is_over_in_time(&route.name, began_at, self.deadline)
        };
        route.kind.is_repeatable() && is_over_in_time()
    }

    /// Tells whether another target could go on where the one that is silent is given up. Where none
    /// could, giving it up would only break the stream off.
    pub(super) fn has_successor(&self) -> bool {
        let now = self.gateway.now();
        let (service, work) = (&self.terms.service, &self.call.work);
        let mut state = self.gateway.state();
        state.has_successor(now, service, work, &self.tried)
    }

    /// Tells whether the call asks for what is known to end its targets, by other attempts too.
    fn is_barred(&self) -> bool {
        let account = self.terms.account.as_deref();
        self.gateway.barred(&self.call, account).is_some()
    }

    /// Finds out what became of a target that closed the connection in the middle of the stream.
    pub(super) async fn note_closed(&mut self) {
        let Some(run) = &self.run else {
            return;
        };
        let sent = BrokenRun::of(&run.running.choice, run.running.sent_at());
        sent.follow_up(&self.gateway, &self.call, &self.terms).await;
    }

    /// Goes on at another target after a broken run, if the route allows it.
    pub(super) async fn go_on(&mut self, cause: &'static str) -> bool {
        if let Some(run) = self.run.take() {
            run.running.note(false);
        }
        self.cutter = EventCutter::default();
        self.attempts.note(SendEnd::Unknown);
        let mut cause = cause;
        loop {
            if !self.may_go_on() || self.is_barred() {
                return false;
            }
            let next = plan_next(&self.gateway, &self.terms, &self.attempts);
            let left = self.deadline.saturating_sub(self.gateway.now());
            if next != Next::Again || left.is_zero() {
                return false;
            }
            let choice = send::choose(
                &self.gateway,
                &self.terms.service,
                &self.call,
                &mut self.tried,
                &mut self.record,
                &mut self.reservation,
            );
            let Some(choice) = choice else {
                return false;
            };
            self.note_resumption(cause, &choice.target);
            let patience = patience(&self.terms, &self.attempts, left);
            let sent = BrokenRun::of(&choice, self.gateway.now());
            let resume_after = self.last_event;
            let started = run::start(
                &self.gateway,
                &self.call,
                &self.terms,
                choice,
                self.deadline,
                patience,
                resume_after,
            );
            match started.await {
                Ok(run) if run.parts.status.is_success() => {
                    self.is_waited_out = false;
                    self.run = Some(run);
                    return true;
                }
                Ok(run) => {
                    run.running.note(false);
                    self.attempts.note(SendEnd::Failed);
                    cause = "failed";
                }
                Err(no_run) => {
                    match no_run.end {
                        SendEnd::NotSent | SendEnd::NotRun => self.reservation.not_run(),
                        SendEnd::Broken => {
                            sent.follow_up(&self.gateway, &self.call, &self.terms).await;
                        }
                        SendEnd::Unknown | SendEnd::Failed => {}
                    }
                    self.attempts.note(no_run.end);
                    cause = no_run.cause;
                }
            }
        }
    }

    fn note_resumption(&self, cause: &str, target: &str) {
        let id = self.call.id.as_deref().unwrap_or("-");
        let after = self
            .last_event
            .map_or_else(String::new, |id| id.to_string());
        self.gateway.log(
            EventCode::SendRetried,
            &[
                ("id", id),
                ("cause", cause),
                ("after_event", &after),
                ("target", target),
            ],
        );
    }
}
