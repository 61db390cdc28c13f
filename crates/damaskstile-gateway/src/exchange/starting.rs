//! Start of a call at a target, and at a successor while the target is silent.

use damaskstile_core::prelude::*;
use damaskstile_requests::{Attempts, NextStep, SendFailureKind};
use damaskstile_targets::Choice;
use tokio::time::timeout;

use super::silent_call::{Answering, SilentCall};
use super::{Exchange, plan_next};
use crate::broken_run::BrokenRun;
use crate::prepared_send::PreparedSend;
use crate::reservation::Reservation;
use crate::run::{Run, SendFailure};
use crate::run_end::RunEnd;
use crate::send;
use crate::send_options::SendOptions;
use crate::succession::{STREAM_OVERLAP_MAX, Succession, SuccessorStart};
use crate::successor::Successor;
use crate::wait_limit::WaitLimit;

impl Exchange {
    /// Sends the call to a target and waits for the head of its answer. While the target is silent
    /// for longer than the wait limit, successors are tried beside it.
    ///
    /// # Errors
    ///
    /// Returns what the failed send to the first target proves about the execution of the call. The
    /// sends to successors are recorded as attempts before.
    pub(super) async fn start(
        &mut self,
        choice: Choice,
        options: SendOptions,
        reservation: &mut Reservation,
    ) -> Result<Run, SendFailure> {
        let wait_limit = self.wait_limit();
        let until = wait_limit.until();
        let connecting =
            PreparedSend::connect(&self.gateway, &wait_limit, until, choice.clone(), options);
        let prepared = connecting.await?;
        let (gateway, call, terms) = (&self.gateway, &self.call, &self.terms);
        let answering = prepared.send(gateway, &self.caller, call, terms, self.deadline)?;
        let sent_at = self.gateway.now();
        let mut answering: Answering = Box::pin(answering);
        let wait = until.saturating_sub(sent_at);
        if let Ok(answer) = timeout(wait, answering.as_mut()).await {
            return answer;
        }
        // Boxed, since few targets are silent.
        Box::pin(self.start_beside(&choice, sent_at, answering, reservation)).await
    }

    /// Waits for the answer of a silent target, which is kept until a successor has answered.
    async fn start_beside(
        &mut self,
        silent: &Choice,
        sent_at: Duration,
        answering: Answering,
        reservation: &mut Reservation,
    ) -> Result<Run, SendFailure> {
        let is_stream = self.terms.route.kind.is_stream();
        let mut current = Some(SilentCall { answering });
        let mut is_noted = false;
        loop {
            let chosen = self.choose_successor(reservation);
            let Some(call) = &mut current else {
                return Err(SendFailure::SILENT);
            };
            let Some((choice, attempts)) = chosen else {
                return call.answering.as_mut().await;
            };
            if !std::mem::replace(&mut is_noted, true) {
                let now = self.gateway.now();
                self.gateway.state().target_table.unanswered(now, silent);
                self.record.add("cause", SendFailure::SILENT.cause);
            }
            self.note_retry(SendFailure::SILENT.cause);
            let successor = Successor::new(&self.gateway, &choice, RunEnd::Open, sent_at);
            let target = choice.target.clone();
            let wait_limit = WaitLimit {
                attempts: &attempts,
                ..self.wait_limit()
            };
            let start = SuccessorStart {
                gateway: &self.gateway,
                caller: &self.caller,
                until: wait_limit.until(),
                wait_limit,
                choice,
                // One that is silent too would be noticed only after the silent run is given up.
                options: SendOptions {
                    asks_start: is_stream,
                    ..SendOptions::default()
                },
                overlap_max: is_stream.then_some(STREAM_OVERLAP_MAX),
                needs_part: false,
            };
            match start.beside(&mut current).await {
                Succession::Cancelled { step, was_sent } => {
                    self.gateway.metrics.successions.cancelled();
                    if was_sent {
                        self.attempts.note(SendFailureKind::Unknown);
                    } else {
                        self.tried.retain(|tried| *tried != target);
                    }
                    if let Ok(run) = &step {
                        self.record.note_kept(&run.running);
                    }
                    return step;
                }
                Succession::Started {
                    started: Ok((run, _)),
                    ended,
                } if !run.parts.status.is_server_error() || ended.is_some() => {
                    let end = self.note_ended(ended, silent, sent_at).await;
                    self.attempts.note(end);
                    self.gateway.metrics.successions.taken();
                    return Ok(run);
                }
                Succession::Started { started, ended } => {
                    let was_given_up = current.is_none();
                    let successor = successor.after(was_given_up);
                    let started = started.map(|(run, _)| run);
                    let (gateway, call, terms) = (&self.gateway, &self.call, &self.terms);
                    let failing = successor.failed(gateway, call, terms, reservation, started);
                    let failure = failing.await;
                    self.record.add("cause", failure.cause);
                    if was_given_up {
                        self.attempts = attempts;
                        return Err(failure.followed_up());
                    }
                    self.attempts.note(failure.end);
                    if let Some(step) = ended {
                        if let Ok(run) = &step {
                            self.record.note_kept(&run.running);
                        }
                        return step;
                    }
                }
            }
        }
    }

    /// Returns what the end of the first send, beside which a successor has answered, proves about
    /// the execution of the call.
    async fn note_ended(
        &self,
        ended: Option<Result<Run, SendFailure>>,
        silent: &Choice,
        sent_at: Duration,
    ) -> SendFailureKind {
        match ended {
            None => SendFailureKind::Unknown,
            Some(Ok(run)) => {
                run.running.note(false);
                SendFailureKind::Failed
            }
            Some(Err(failure)) => {
                if failure.end == SendFailureKind::Broken {
                    let broken = BrokenRun::of(silent, sent_at);
                    let (gateway, call, terms) = (&self.gateway, &self.call, &self.terms);
                    broken.follow_up(gateway, call, terms).await;
                }
                failure.end
            }
        }
    }

    /// Chooses another target for a call whose target is silent; `None` if there is none, or the
    /// call may not be sent again. The attempts that are returned count the silent target.
    fn choose_successor(&mut self, reservation: &mut Reservation) -> Option<(Choice, Attempts)> {
        if !self.wait_limit().has_successor_now() || self.time_left().is_zero() {
            return None;
        }
        let mut attempts = self.attempts.clone();
        attempts.note(SendFailureKind::Unknown);
        if plan_next(&self.gateway, &self.terms, &attempts) != NextStep::Retry {
            return None;
        }
        let choice = send::choose(
            &self.gateway,
            &self.terms.service,
            &self.call,
            &mut self.tried,
            &mut self.record,
            reservation,
        )?;
        Some((choice, attempts))
    }
}
