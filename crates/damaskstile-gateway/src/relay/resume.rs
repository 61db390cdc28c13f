//! Resumes a stream at another target after its run failed, or while it is silent.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_requests::{Attempts, NextStep, SendFailureKind};
use damaskstile_targets::Choice;

use super::silent_stream::SilentStream;
use super::{Relay, StreamStep};
use crate::broken_run::BrokenRun;
use crate::events::EventSplitter;
use crate::exchange::plan_next;
use crate::record::logged_id;
use crate::run::{self, Run, SendFailure};
use crate::run_end::RunEnd;
use crate::send;
use crate::send_options::SendOptions;
use crate::succession::{STREAM_OVERLAP_MAX, Succession, SuccessorStart};
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
    pub(super) async fn replace_silent_run(&mut self) -> Option<StreamStep> {
        loop {
            let Some((choice, attempts)) = self.choose_successor(SendFailureKind::Unknown) else {
                self.waits_out_pauses = true;
                return None;
            };
            let Some(current) = self.run.take() else {
                return Some(StreamStep::Broken("no_run"));
            };
            self.note_resumption("stalled", &choice.target);
            let successor = self.successor(&choice, RunEnd::Open);
            let mut current = Some(SilentStream {
                run: current,
                has_part: !self.splitter.is_empty(),
            });
            let target = choice.target.clone();
            let start = SuccessorStart {
                gateway: &self.gateway,
                caller: &self.caller,
                wait_limit: WaitLimit {
                    attempts: &attempts,
                    ..self.wait_limit()
                },
                // It has answered the query for its start, so it is not silent for good.
                until: self.deadline,
                choice,
                options: SendOptions::resuming(self.last_event),
                overlap_max: Some(STREAM_OVERLAP_MAX),
                needs_part: true,
            };
            let succession = start.beside(&mut current).await;
            let current = current.map(|current| current.run);
            match succession {
                Succession::Cancelled { step, was_sent } => {
                    self.gateway.metrics.successions.cancelled();
                    if was_sent {
                        self.attempts.note(SendFailureKind::Unknown);
                    } else {
                        self.tried.retain(|tried| *tried != target);
                    }
                    if let Some(current) = &current {
                        self.record.note_kept(&current.running);
                    }
                    self.run = current;
                    return self.step_of(step);
                }
                Succession::Started {
                    started: Ok((run, part)),
                    ended,
                } if run.parts.status.is_success() => {
                    if let Some(current) = current {
                        current.running.note(false);
                        if ended.is_some() {
                            self.follow_up_ended(&current);
                        }
                    }
                    self.attempts = attempts;
                    self.take_over(run);
                    return part.and_then(|part| self.step_of(Some(Ok(part))));
                }
                Succession::Started { started, ended } => {
                    let was_given_up = current.is_none();
                    let successor = successor.after(was_given_up);
                    let started = started.map(|(run, _)| run);
                    let failure = self.follow_up(successor, started).await;
                    self.run = current;
                    if was_given_up {
                        self.attempts = attempts;
                        self.last_run_end = RunEnd::GivenUp;
                        return Some(StreamStep::Lost(failure));
                    }
                    self.attempts.note(failure.end);
                    if let Some(step) = ended {
                        return self.step_of(step);
                    }
                }
            }
        }
    }

    /// Checks whether the target of a run that has ended has crashed, beside the run that has taken
    /// the stream over.
    fn follow_up_ended(&self, ended: &Run) {
        let broken = BrokenRun::of_running(&ended.running);
        let (gateway, call) = (Arc::clone(&self.gateway), self.call.clone());
        let terms = self.terms.clone();
        tokio::spawn(async move {
            broken.follow_up(&gateway, &call, &terms).await;
        });
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
        self.last_run_end = RunEnd::Open;
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
        if self.last_run_end == RunEnd::Open {
            self.last_run_end = RunEnd::Ended;
        }
        let (mut cause, mut next) = (cause, next);
        while let Some((choice, attempts)) = next {
            self.attempts = attempts;
            self.note_resumption(cause, &choice.target);
            let successor = self.successor(&choice, self.last_run_end);
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
