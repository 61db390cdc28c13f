//! Serves one call: from admission over token reservation and sending to the answer for its caller.

mod admission;
mod answering;
mod continuing;
mod queueing;
mod refusing;
mod silent_call;
mod starting;
mod stopping;
mod taking_up;
mod tokens;

use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_requests::{Attempts, NextStep, SendFailureKind};
use damaskstile_targets::Work;
use http::{HeaderValue, Request, Response, header};
use hyper::body::{Body, Incoming};

use crate::admitted_stream::AdmittedStream;
use crate::body_failure::BodyFailure;
use crate::broken_run::BrokenRun;
use crate::caller_connection::CallerConnection;
use crate::caller_resources::ReleaseCause;
use crate::gateway::Gateway;
use crate::held_call::HeldCall;
use crate::open_call::OpenCall;
use crate::outbound_call::OutboundCall;
use crate::phase::Phase;
use crate::prompt_place::PromptPlace;
use crate::record::{Record, logged_id};
use crate::reply::{RETRY_AT_ONCE, RETRY_LATER, RETRY_SOON, Refusal, ReplyBody};
use crate::reservation::Reservation;
use crate::run_copy::RunCopy;
use crate::send;
use crate::state::Terms;
use crate::wait_limit::WaitLimit;

use admission::admit;

/// Grace period after a call's time limit. When it has passed, the call is answered whatever it is
/// waiting for. The waits inside a call have their own limits, which normally expire first and
/// report a more specific cause. Callers are promised an answer within half a second of the limit.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);
/// A call being served.
struct Exchange {
    gateway: Arc<Gateway>,
    call: OutboundCall,
    terms: Terms,
    record: Record,
    deadline: Duration,
    _open: OpenCall,
    admitted: AdmittedStream,
    attempts: Attempts,
    tried: Vec<TargetId>,
    last_event: Option<u64>,
    /// Attempt that brought the first event of the stream that this call takes up.
    resumes: Option<String>,
    /// Copy of the current run.
    copy: Option<RunCopy>,
    /// Whether a target may be executing the call.
    is_sending: bool,
    caller: CallerConnection,
    /// Counts what is held for the call.
    held: HeldCall,
    /// Place of a bulk prompt, until a target answers.
    place: Option<PromptPlace>,
}

/// Serves one call.
pub async fn serve(
    gateway: Arc<Gateway>,
    caller: CallerConnection,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let open = gateway.open_call();
    let (parts, body) = request.into_parts();
    caller.set_unread(!body.is_end_stream());
    let head = gateway.dialect.read_call(&parts);
    let began_at = gateway.now();
    let mut record = Record::new(&gateway, began_at, head.id.as_deref());
    let id = head.id.clone();
    let held_call = match HeldCall::begin(&gateway, &caller, &parts) {
        Ok(held_call) => held_call,
        Err(cause) => {
            record.add("cause", cause.as_str());
            let refusal = Refusal::not_run(RefusalCode::Overloaded, Some(RETRY_AT_ONCE));
            let mut response = refuse(&gateway, &mut record, &refusal, id.as_deref());
            set_close(&mut response);
            return response;
        }
    };
    let mut response = match admit(&gateway, &parts, &head, &mut record) {
        Ok(terms) => {
            let limit = head
                .time_limit
                .map_or(terms.route.timeout, |limit| limit.min(terms.route.timeout));
            if let Some(event) = head.last_event {
                record.add("after_event", event);
                record.add("resumes", logged_id(head.resumes.as_deref()));
            }
            let mut exchange = Exchange {
                gateway: Arc::clone(&gateway),
                call: OutboundCall {
                    method: parts.method,
                    uri: parts.uri,
                    headers: parts.headers,
                    body: Bytes::new(),
                    id: head.id,
                    work: Work {
                        home_regions: terms.home_regions.clone(),
                        is_bulk: terms.is_bulk,
                        weights: head.weights,
                        ..head.work.unwrap_or_default()
                    },
                },
                terms,
                record,
                deadline: began_at + limit,
                _open: open,
                admitted: AdmittedStream::default(),
                attempts: Attempts::default(),
                tried: Vec::new(),
                last_event: head.last_event,
                resumes: head.resumes,
                copy: None,
                is_sending: false,
                caller: caller.clone(),
                held: held_call,
                place: None,
            };
            let time_is_up = tokio::time::sleep(limit + TIME_LIMIT_SLACK);
            tokio::select! {
                biased;
                response = exchange.process(body) => response,
                () = gateway.cut() => exchange.cut(),
                () = time_is_up => exchange.deadline_exceeded(),
            }
        }
        Err(refusal) => refuse(&gateway, &mut record, &refusal, id.as_deref()),
    };
    if *gateway.phase.borrow() != Phase::Serving {
        set_close(&mut response);
    }
    response
}

/// Has the connection closed after an answer.
fn set_close(response: &mut Response<ReplyBody>) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
}

fn refuse(
    gateway: &Gateway,
    record: &mut Record,
    refusal: &Refusal,
    id: Option<&str>,
) -> Response<ReplyBody> {
    record.add("status", refusal.status().as_u16());
    let code = if refusal.has_run {
        EventCode::CallFailed
    } else {
        EventCode::CallRefused
    };
    record.end(code, refusal.code.as_str());
    refusal.reply(gateway, id)
}

/// Decides what to do after a send that produced no answer for the caller.
pub(crate) fn plan_next(gateway: &Gateway, terms: &Terms, attempts: &Attempts) -> NextStep {
    let is_repeatable = terms.route.kind.is_repeatable();
    attempts.next(is_repeatable, terms.route.attempts_max, || {
        let now = gateway.now();
        gateway.state().try_retry(now, &terms.service)
    })
}

impl Exchange {
    async fn process(&mut self, body: Incoming) -> Response<ReplyBody> {
        match self.read_body(body).await {
            Ok(body) => {
                self.call.body = body;
                let (now, bytes) = (self.gateway.now(), self.call.link_bytes());
                let mut state = self.gateway.state();
                state.pressure.note_received(now, bytes);
                if let Some(account) = &self.terms.account {
                    let needs_s = state.pressure.needs_s(bytes);
                    state.load_sharing.add_call(now, account, needs_s);
                }
            }
            Err(refusal) => {
                let mut response = self.refuse(&refusal);
                set_close(&mut response);
                return response;
            }
        }
        // The body is read first: closing a connection with unread bytes would reset it, and the
        // caller might never see the refusal.
        if self.is_closing() || !self.finishes_in_time() {
            let refusal = self.stopping_refusal();
            return self.refuse(&refusal);
        }
        if let Some(response) = self.overload_refusal() {
            return response;
        }
        if let Some(refusal) = self.quarantine_refusal() {
            return self.refuse(&refusal);
        }
        if let Some(refusal) = self.bind_to_origin().await {
            return self.refuse(&refusal);
        }
        if let Some(refusal) = self.no_target_refusal() {
            return self.refuse(&refusal);
        }
        // Checked before the call waits for tokens.
        if let Some(wait) = self.targets_backoff() {
            let refusal = Refusal::not_run(RefusalCode::NoTarget, Some(wait));
            return self.refuse(&refusal);
        }
        let reservation = match self.reserve().await {
            Ok(reservation) => reservation,
            Err(refusal) => return self.refuse(&refusal),
        };
        if let Err(refusal) = self.wait_for_place().await {
            return self.refuse(&refusal);
        }
        self.send(reservation).await
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.gateway.now())
    }

    async fn read_body(&mut self, body: Incoming) -> Result<Bytes, Refusal> {
        let limit = self.terms.catalogue.limits().body_bytes;
        let reading = self.held.receive(body, limit);
        let read = tokio::time::timeout(self.time_left(), reading).await;
        let took = self.gateway.now().saturating_sub(self.record.began_at());
        self.gateway.link_times.note("body", took);
        let (code, retry_after) = match read {
            Ok(Ok(body)) => {
                self.caller.set_unread(false);
                return Ok(body);
            }
            Ok(Err(BodyFailure::TooLarge)) => (RefusalCode::BodyTooLarge, None),
            Ok(Err(BodyFailure::Broken)) => (RefusalCode::BadRequest, None),
            Ok(Err(BodyFailure::Denied)) => {
                self.record.add("cause", ReleaseCause::BodyMemory.as_str());
                (RefusalCode::Overloaded, Some(RETRY_AT_ONCE))
            }
            Err(_) => (RefusalCode::BodyIncomplete, None),
        };
        Err(Refusal::not_run(code, retry_after))
    }

    async fn send(&mut self, reservation: Reservation) -> Response<ReplyBody> {
        let (response, unused) = self.send_until_answered(reservation).await;
        // If the caller disconnects, this future is dropped before this point.
        if let Some(mut reservation) = unused {
            reservation.failed();
        }
        response
    }

    /// Sends the call, again to other targets if need be, until one answers. Returns the
    /// reservation if none did, so that the caller of this method can settle it.
    async fn send_until_answered(
        &mut self,
        mut reservation: Reservation,
    ) -> (Response<ReplyBody>, Option<Reservation>) {
        loop {
            if self.time_left().is_zero() {
                return (self.deadline_exceeded(), Some(reservation));
            }
            if !self.finishes_in_time() {
                let wait = self.stopping_wait();
                let response = self.give_up(RefusalCode::Stopping, wait);
                return (response, Some(reservation));
            }
            if let Some(refusal) = self.quarantine_refusal() {
                return (self.refuse(&refusal), Some(reservation));
            }
            let choice = send::choose(
                &self.gateway,
                &self.terms.service,
                &self.call,
                &mut self.tried,
                &mut self.record,
                &mut reservation,
            );
            let Some(choice) = choice else {
                let response = self.give_up(RefusalCode::NoTarget, RETRY_LATER);
                return (response, Some(reservation));
            };
            self.is_sending = true;
            let mut sent = BrokenRun::of(&choice, self.gateway.now());
            self.copy = RunCopy::plan(&self.gateway, &self.terms, &self.call, &choice, &self.tried);
            let options = RunCopy::options_of_run(self.copy.as_ref());
            let failure = match self.start(choice, options, &mut reservation).await {
                Ok(mut run) => {
                    sent = BrokenRun::of_running(&run.running);
                    run.running.hold(self.place.take());
                    if let Some(peer) = run.lease.peer {
                        self.record.add("through", peer);
                    }
                    match self.answer(run, reservation).await {
                        Ok(response) => return (response, None),
                        Err((failure, kept)) => {
                            reservation = kept;
                            failure
                        }
                    }
                }
                Err(failure) => failure,
            };
            if matches!(
                failure.end,
                SendFailureKind::NotSent | SendFailureKind::NotRun
            ) {
                reservation.not_run();
            }
            self.attempts.note(failure.end);
            self.is_sending = false;
            self.record.add("cause", failure.cause);
            if failure.end == SendFailureKind::Broken {
                let check = sent.follow_up(&self.gateway, &self.call, &self.terms).await;
                if let Some(run) = self.continue_from_copy(&sent, check).await {
                    return (Box::pin(self.relay(run, reservation)).await, None);
                }
            }
            if self.time_left().is_zero() {
                return (self.deadline_exceeded(), Some(reservation));
            }
            if let Some(code) = failure.fault_of_call() {
                return (self.give_up(code, RETRY_LATER), Some(reservation));
            }
            let response = match plan_next(&self.gateway, &self.terms, &self.attempts) {
                NextStep::Retry => {
                    self.note_retry(failure.cause);
                    continue;
                }
                NextStep::GiveUp if self.attempts.may_have_run() => {
                    self.refuse(&Refusal::unknown(RefusalCode::TargetLost))
                }
                _ if failure.is_unreachable() => {
                    self.give_up(RefusalCode::TargetsUnreachable, RETRY_SOON)
                }
                _ => self.give_up(RefusalCode::Overloaded, RETRY_SOON),
            };
            return (response, Some(reservation));
        }
    }

    fn wait_limit(&self) -> WaitLimit<'_> {
        WaitLimit {
            gateway: &self.gateway,
            call: &self.call,
            terms: &self.terms,
            attempts: &self.attempts,
            tried: &self.tried,
            deadline: self.deadline,
            resumes_from: None,
        }
    }

    fn note_retry(&self, cause: &str) {
        let (now, bytes) = (self.gateway.now(), self.call.link_bytes());
        self.gateway.state().pressure.note_sent(now, bytes);
        let id = logged_id(self.call.id.as_deref());
        self.gateway
            .log(EventCode::SendRetried, &[("id", id), ("cause", cause)]);
    }
}
