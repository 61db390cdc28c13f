//! Passes a target's answer on to the caller, as a stream or as a whole.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_requests::SendFailureKind;
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;

use super::Exchange;
use crate::events::EventSplitter;
use crate::held_answer::HeldAnswer;
use crate::relay::Relay;
use crate::reply::{Refusal, ReplyBody};
use crate::reservation::Reservation;
use crate::run::{Run, SendFailure};
use crate::run_end::RunEnd;

/// Largest answer that is buffered, so that the call can be sent to another target if reading it
/// fails, in bytes.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Returns whether callers treat a status as a guarantee that the call was not executed.
fn guarantees_not_run(status: StatusCode) -> bool {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    promises.contains(&status)
}

impl Exchange {
    /// Passes an answer on. Returns the reservation in the error if the call should be sent again.
    pub(super) async fn answer(
        &mut self,
        run: Run,
        reservation: Reservation,
    ) -> Result<Response<ReplyBody>, (SendFailure, Reservation)> {
        if run.head.is_leaving {
            self.record.add("leaving", &run.running.choice.target);
        }
        let is_stream = self.terms.route.kind.is_stream() && run.parts.status.is_success();
        if is_stream {
            return Ok(Box::pin(self.relay(run, reservation)).await);
        }
        let is_last = self.attempts.sent() + 1 >= self.terms.route.attempts_max;
        let may_repeat = self.terms.route.kind.is_repeatable() && !is_last;
        if run.parts.status.is_server_error() && may_repeat {
            run.running.note(false);
            return Err((
                SendFailure::new(SendFailureKind::Failed, "failed"),
                reservation,
            ));
        }
        if guarantees_not_run(run.parts.status) && !self.terms.route.kind.is_repeatable() {
            run.running.note(false);
            let mut reservation = reservation;
            reservation.failed();
            self.note_time();
            // If this status were passed on, the caller would take it for our guarantee that the
            // call was not executed and send it again, so it could run twice. The target has not
            // proved that it did not run.
            return Ok(self.refuse(&Refusal::unknown(RefusalCode::TargetLost)));
        }
        self.forward_complete(run, reservation).await
    }

    async fn forward_complete(
        &mut self,
        run: Run,
        mut reservation: Reservation,
    ) -> Result<Response<ReplyBody>, (SendFailure, Reservation)> {
        let Run {
            mut parts,
            head,
            body,
            lease,
            mut running,
        } = run;
        let reading = self.held.collect_answer(body, ANSWER_BYTES_MAX);
        let body = match tokio::time::timeout(self.time_left(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => {
                running.note(false);
                return Err((
                    SendFailure::new(SendFailureKind::Broken, "body_broken"),
                    reservation,
                ));
            }
            Err(_) => {
                return Err((
                    SendFailure::new(SendFailureKind::Failed, "body_late"),
                    reservation,
                ));
            }
        };
        self.gateway.note_forwarded(body.len());
        lease.give_back(head.reuse_for).await;
        running.note(!parts.status.is_server_error());
        if parts.status.is_success() {
            running.answered();
            self.gateway.note_answer_begun(&self.call);
            let account = self.terms.account.as_deref();
            self.gateway.note_success(&self.call, account);
            reservation.delivering_complete();
        } else {
            reservation.failed();
        }
        self.note_time();
        self.record.first_byte();
        self.record.add("status", parts.status.as_u16());
        let (code, outcome) = if parts.status.is_success() {
            (EventCode::CallAnswered, "answered")
        } else {
            (EventCode::CallFailed, "target_failed")
        };
        self.record.end(code, outcome);
        self.gateway.dialect.set_answer_headers(&mut parts.headers);
        let body = HeldAnswer::new(body, self.held.hand_over());
        let body = body.map_err(|never| match never {}).boxed_unsync();
        Ok(Response::from_parts(parts, body))
    }

    /// Passes a stream on once its first event has arrived. Nothing has been sent to the caller
    /// until then, so it can still get a proper refusal if no target delivers an event.
    pub(super) async fn relay(
        &mut self,
        run: Run,
        reservation: Reservation,
    ) -> Response<ReplyBody> {
        let mut parts = run.parts.clone();
        self.gateway.dialect.set_answer_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        self.note_copy();
        // The head that the caller gets is that of the first run, so its version counts from here on.
        let mut call = self.call.clone();
        call.work.software_version = Some(run.running.choice.software_version.clone());
        let mut relay = Relay {
            gateway: Arc::clone(&self.gateway),
            call,
            terms: self.terms.clone(),
            reservation,
            record: self.record.hand_over(),
            attempts: std::mem::take(&mut self.attempts),
            tried: std::mem::take(&mut self.tried),
            deadline: self.deadline,
            run: Some(run),
            copy: self.copy.take(),
            open: self.gateway.open_call(),
            admitted: std::mem::take(&mut self.admitted),
            caller: self.caller.clone(),
            held: self.held.hand_over(),
            last_event: self.last_event,
            resumes: self.resumes.take(),
            has_begun: false,
            lacks_event_ids: false,
            splitter: EventSplitter::default(),
            last_event_at: None,
            last_run_end: RunEnd::Open,
            pause_max: Duration::ZERO,
            waits_out_pauses: false,
            first_frame: None,
            stream_end: None,
        };
        relay.held.begin_answer();
        if let Err(code) = relay.begin().await {
            let refusal = Refusal::unknown(code);
            relay.record.add("status", refusal.status().as_u16());
            return refusal.reply(&self.gateway, self.call.id.as_deref());
        }
        Response::from_parts(parts, relay.into_body())
    }
}
