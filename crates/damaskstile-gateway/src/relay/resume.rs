//! Resumes a stream at another target after its run failed or stalled.

use damaskstile_core::prelude::*;
use damaskstile_requests::{NextStep, SendFailureKind};
use damaskstile_targets::Choice;

use super::Relay;
use crate::broken_run::BrokenRun;
use crate::events::EventSplitter;
use crate::exchange::plan_next;
use crate::record::logged_id;
use crate::run;
use crate::send;
use crate::send_options::SendOptions;
use crate::target_ends::EndCheck;
use crate::wait_limit::WaitLimit;

impl Relay {
    /// Returns whether the stream may be resumed at another target: the route allows repeated
    /// sends, and no shutdown would cut it off there. Otherwise a silent target is waited for.
    pub(super) fn may_resume(&self) -> bool {
        let (route, began_at) = (&self.terms.route, self.record.began_at());
        let finishes_in_time = || {
            self.gateway
                .finishes_in_time(&route.name, began_at, self.deadline)
        };
        route.kind.is_repeatable() && finishes_in_time()
    }

    /// Returns whether the call's content is quarantined by now, possibly because of other attempts
    /// with the same content.
    pub(super) fn is_quarantined(&self) -> bool {
        let account = self.terms.account.as_deref();
        self.gateway
            .quarantine_refusal(&self.call, account)
            .is_some()
    }

    /// Checks whether the target that closed the connection in mid-stream has ended, and returns
    /// its run with the result.
    pub(super) async fn follow_up_closed(&mut self) -> Option<(BrokenRun, EndCheck)> {
        let run = self.run.as_ref()?;
        let sent = BrokenRun::of_running(&run.running);
        let check = sent.follow_up(&self.gateway, &self.call, &self.terms).await;
        Some((sent, check))
    }

    /// Chooses the target at which the stream resumes if the current run ends with `end`; `None` if
    /// it cannot be resumed. The current run is left untouched.
    pub(super) fn choose_successor(&mut self, end: SendFailureKind) -> Option<Choice> {
        if !self.may_resume() || self.is_quarantined() || self.time_left().is_zero() {
            return None;
        }
        let mut attempts = self.attempts.clone();
        attempts.note(end);
        if plan_next(&self.gateway, &self.terms, &attempts) != NextStep::Retry {
            return None;
        }
        let choice = send::choose(
            &self.gateway,
            &self.terms.service,
            &self.call,
            &mut self.tried,
            &mut self.record,
            &mut self.reservation,
        )?;
        self.attempts = attempts;
        Some(choice)
    }

    /// Drops the current run and resumes the stream at the chosen target, or at further ones if
    /// that fails. Returns false if none took the call.
    pub(super) async fn resume(&mut self, cause: &'static str, next: Option<Choice>) -> bool {
        if let Some(run) = self.run.take() {
            run.running.note(false);
        }
        self.last_run_end = if cause == "stalled" {
            "given_up"
        } else {
            "ended"
        };
        self.splitter = EventSplitter::default();
        let (mut cause, mut next) = (cause, next);
        while let Some(choice) = next {
            self.note_resumption(cause, &choice.target);
            let sent = BrokenRun::of(&choice, self.gateway.now());
            let wait_limit = self.wait_limit();
            let options = SendOptions::resuming(self.last_event);
            let (gateway, caller) = (&self.gateway, &self.caller);
            let target = choice.target.clone();
            let started = run::start(gateway, caller, &wait_limit, choice, options);
            let end = match started.await {
                Ok(run) if run.parts.status.is_success() => {
                    self.waits_out_pauses = false;
                    self.gateway.metrics.successions.taken();
                    self.run = Some(run);
                    return true;
                }
                Ok(run) => {
                    run.running.note(false);
                    cause = "failed";
                    SendFailureKind::Failed
                }
                Err(failure) => {
                    match failure.end {
                        SendFailureKind::NotSent | SendFailureKind::NotRun => {
                            self.reservation.not_run();
                        }
                        SendFailureKind::Broken => {
                            sent.follow_up(&self.gateway, &self.call, &self.terms).await;
                        }
                        SendFailureKind::Unknown | SendFailureKind::Failed => {}
                    }
                    cause = failure.cause;
                    failure.end
                }
            };
            self.note_failed_successor(&target, cause);
            next = self.choose_successor(end);
        }
        false
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.now())
    }

    pub(super) fn wait_limit(&self) -> WaitLimit<'_> {
        WaitLimit {
            gateway: &self.gateway,
            call: &self.call,
            terms: &self.terms,
            attempts: &self.attempts,
            tried: &self.tried,
            deadline: self.deadline,
            resumes_from: Some(self.record.began_at()),
        }
    }

    /// Records that a target did not take the stream.
    fn note_failed_successor(&self, target: &str, cause: &str) {
        self.gateway.metrics.successions.failed();
        let silent_ms = self.silence().as_millis().to_string();
        let fields = [
            ("id", logged_id(self.call.id.as_deref())),
            ("target", target),
            ("cause", cause),
            ("run_end", self.last_run_end),
            ("silent_ms", &silent_ms),
        ];
        self.gateway.log(EventCode::SuccessorFailed, &fields);
    }

    fn note_resumption(&self, cause: &str, target: &str) {
        let (now, bytes) = (self.gateway.now(), self.call.link_bytes());
        self.gateway.state().pressure.note_sent(now, bytes);
        let id = logged_id(self.call.id.as_deref());
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
