//! Start of a call at a target, and at a successor while the target is silent.

use std::future::Future;
use std::pin::{Pin, pin};

use damaskstile_core::prelude::*;
use damaskstile_requests::{Attempts, NextStep, SendFailureKind};
use damaskstile_targets::Choice;
use tokio::time::timeout;

use super::{Exchange, plan_next};
use crate::broken_run::BrokenRun;
use crate::prepared_send::PreparedSend;
use crate::reservation::Reservation;
use crate::run::{Run, SendFailure};
use crate::run_end::RunEnd;
use crate::send;
use crate::send_options::SendOptions;
use crate::succession::{CurrentRun, Succession, start_successor};
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
        let mut answering = pin!(answering);
        let wait = until.saturating_sub(self.gateway.now());
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
        mut answering: Pin<&mut impl Future<Output = Result<Run, SendFailure>>>,
        reservation: &mut Reservation,
    ) -> Result<Run, SendFailure> {
        loop {
            let Some((choice, attempts)) = self.choose_successor(reservation) else {
                return answering.await;
            };
            let now = self.gateway.now();
            self.gateway.state().target_table.unanswered(now, silent);
            self.note_retry(SendFailure::SILENT.cause);
            self.record.add("cause", SendFailure::SILENT.cause);
            let successor = Successor::new(&self.gateway, &choice, RunEnd::Open, sent_at);
            let succession = {
                let wait_limit = WaitLimit {
                    attempts: &attempts,
                    ..self.wait_limit()
                };
                let current = async {
                    match answering.as_mut().await {
                        Ok(run) => CurrentRun::GoesOn(Ok(run)),
                        Err(failure) => CurrentRun::Ended(Err(failure)),
                    }
                };
                let (gateway, caller) = (&self.gateway, &self.caller);
                let options = SendOptions::default();
                start_successor(current, gateway, caller, &wait_limit, choice, options).await
            };
            match succession {
                Succession::Cancelled { current, was_sent } => {
                    self.gateway.metrics.successions.cancelled();
                    if was_sent {
                        self.attempts.note(SendFailureKind::Unknown);
                    }
                    return current;
                }
                Succession::Started {
                    started: Ok(run),
                    ended,
                } if !run.parts.status.is_server_error() => {
                    let end = match ended {
                        Some(Err(failure)) => failure.end,
                        Some(Ok(_)) | None => SendFailureKind::Unknown,
                    };
                    if end == SendFailureKind::Broken {
                        let broken = BrokenRun::of(silent, sent_at);
                        let (gateway, call, terms) = (&self.gateway, &self.call, &self.terms);
                        broken.follow_up(gateway, call, terms).await;
                    }
                    self.attempts.note(end);
                    self.gateway.metrics.successions.taken();
                    return Ok(run);
                }
                Succession::Started { started, ended } => {
                    let (gateway, call, terms) = (&self.gateway, &self.call, &self.terms);
                    let failing = successor.failed(gateway, call, terms, reservation, started);
                    let failure = failing.await;
                    self.attempts.note(failure.end);
                    self.record.add("cause", failure.cause);
                    if let Some(ended) = ended {
                        return ended;
                    }
                }
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
