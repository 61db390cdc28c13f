//! Resumes a stream at another target after its run failed, or while it is silent.

use damaskstile_core::prelude::*;
use damaskstile_requests::{Attempts, NextStep, SendFailureKind};
use damaskstile_targets::Choice;

use http_body_util::BodyExt;

use super::{Relay, StreamStep};
use crate::broken_run::BrokenRun;
use crate::events::EventSplitter;
use crate::exchange::plan_next;
use crate::record::logged_id;
use crate::run::{self, Run, SendFailure};
use crate::run_end::RunEnd;
use crate::send;
use crate::send_options::SendOptions;
use crate::succession::{CurrentRun, Succession, start_successor};
use crate::successor::Successor;
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
    /// it cannot be resumed. The current run is left untouched; the attempts that are returned
    /// count it as ended.
    pub(super) fn choose_successor(&mut self, end: SendFailureKind) -> Option<(Choice, Attempts)> {
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
        Some((choice, attempts))
    }

    /// Starts the stream at another target while the current run is silent; it is kept until the
    /// other target has accepted the call. Returns what the current run does next, if it does not
    /// stay silent.
    pub(super) async fn succeed_silent_run(&mut self) -> Option<StreamStep> {
        loop {
            let Some((choice, attempts)) = self.choose_successor(SendFailureKind::Unknown) else {
                self.waits_out_pauses = true;
                return None;
            };
            let Some(mut current) = self.run.take() else {
                return Some(StreamStep::Broken("no_run"));
            };
            self.note_resumption("stalled", &choice.target);
            let successor = self.successor(&choice, RunEnd::Open);
            let succession = {
                let wait_limit = WaitLimit {
                    attempts: &attempts,
                    ..self.wait_limit()
                };
                let has_part = !self.splitter.is_empty();
                let reading = async {
                    match current.body.frame().await {
                        frame @ Some(Err(_)) => CurrentRun::Ended(frame),
                        None if has_part => CurrentRun::Ended(None),
                        frame => CurrentRun::GoesOn(frame),
                    }
                };
                let (gateway, caller) = (&self.gateway, &self.caller);
                let options = SendOptions::resuming(self.last_event);
                start_successor(reading, gateway, caller, &wait_limit, choice, options).await
            };
            match succession {
                Succession::Cancelled {
                    current: frame,
                    was_sent,
                } => {
                    self.gateway.metrics.successions.cancelled();
                    if was_sent {
                        self.attempts.note(SendFailureKind::Unknown);
                    }
                    self.run = Some(current);
                    return self.step_of(frame);
                }
                Succession::Started {
                    started: Ok(run),
                    ended,
                } if run.parts.status.is_success() => {
                    if ended.is_some() {
                        let broken = BrokenRun::of_running(&current.running);
                        let (gateway, call, terms) = (&self.gateway, &self.call, &self.terms);
                        broken.follow_up(gateway, call, terms).await;
                    }
                    current.running.note(false);
                    self.attempts = attempts;
                    self.take_over(run);
                    return None;
                }
                Succession::Started { started, ended } => {
                    let failure = self.follow_up(successor, started).await;
                    self.attempts.note(failure.end);
                    self.run = Some(current);
                    if let Some(frame) = ended {
                        return self.step_of(frame);
                    }
                }
            }
        }
    }

    fn successor(&self, choice: &Choice, run_end: RunEnd) -> Successor {
        Successor::new(&self.gateway, choice, run_end, self.silent_since())
    }

    /// Follows up a successor whose target did not take the stream.
    async fn follow_up(
        &mut self,
        successor: Successor,
        started: Result<Run, SendFailure>,
    ) -> SendFailure {
        let (gateway, call, terms) = (&self.gateway, &self.call, &self.terms);
        let following_up = successor.failed(gateway, call, terms, &mut self.reservation, started);
        following_up.await
    }

    /// Continues the stream with a run that has accepted it.
    fn take_over(&mut self, run: Run) {
        self.gateway.metrics.successions.taken();
        self.splitter = EventSplitter::default();
        self.waits_out_pauses = false;
        self.run = Some(run);
    }

    /// Resumes the stream at the chosen target, or at further ones if that fails, after the current
    /// run has ended. Returns false if none took the call.
    pub(super) async fn resume(
        &mut self,
        cause: &'static str,
        next: Option<(Choice, Attempts)>,
    ) -> bool {
        if let Some(run) = self.run.take() {
            run.running.note(false);
        }
        self.last_run_end = RunEnd::Ended;
        let (mut cause, mut next) = (cause, next);
        while let Some((choice, attempts)) = next {
            self.attempts = attempts;
            self.note_resumption(cause, &choice.target);
            let successor = self.successor(&choice, RunEnd::Ended);
            let wait_limit = self.wait_limit();
            let options = SendOptions::resuming(self.last_event);
            let (gateway, caller) = (&self.gateway, &self.caller);
            let started = run::start(gateway, caller, &wait_limit, choice, options).await;
            match started {
                Ok(run) if run.parts.status.is_success() => {
                    self.take_over(run);
                    return true;
                }
                started => {
                    let failure = self.follow_up(successor, started).await;
                    cause = failure.cause;
                    next = self.choose_successor(failure.end);
                }
            }
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
