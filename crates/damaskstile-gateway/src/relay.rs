//! Relays a target's event stream to the caller, and resumes it at another target if a run fails.

mod continuation;
mod resume;
mod silent_stream;
mod stream_end;

use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_requests::{Attempts, SendFailureKind};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};

use crate::admitted_stream::AdmittedStream;
use crate::caller_connection::CallerConnection;
use crate::events::{CompleteEvent, EventSplitter};
use crate::gateway::Gateway;
use crate::held_call::HeldCall;
use crate::open_call::OpenCall;
use crate::outbound_call::OutboundCall;
use crate::record::Record;
use crate::reply::ReplyBody;
use crate::reservation::Reservation;
use crate::run::{Run, SendFailure};
use crate::run_copy::RunCopy;
use crate::run_end::RunEnd;
use crate::state::Terms;
use crate::wait_limit::allows_another_send;

pub use stream_end::StreamEnd;

/// Pause between events after which a stream is resumed at another target, if it may be. Callers
/// give up after two seconds or more, and a preempted run pauses for less than a second.
const STALL_LIMIT: Duration = Duration::from_millis(1_500);

/// Time after a stream's time limit for which events that are ready are still passed on. Callers are
/// promised the end of an answer within half a second of the limit.
const LATE_EVENTS_TIME: Duration = Duration::from_millis(250);

/// A stream being relayed to its caller.
#[derive(Debug)]
pub struct Relay {
    /// State shared by all background tasks of the instance.
    pub gateway: Arc<Gateway>,
    /// The call, kept so that it can be sent again.
    pub call: OutboundCall,
    /// Route, service and account of the call.
    pub terms: Terms,
    /// Tokens reserved for the call.
    pub reservation: Reservation,
    /// The call's log record.
    pub record: Record,
    /// Outcomes of the call's sends so far.
    pub attempts: Attempts,
    /// Targets that the call was sent to.
    pub tried: Vec<TargetId>,
    /// Time by which the stream ends in any case.
    pub deadline: Duration,
    /// The current run.
    pub run: Option<Run>,
    /// Copy of the current run.
    pub copy: Option<RunCopy>,
    /// Keeps the call counted as open.
    pub open: OpenCall,
    /// Keeps the stream counted as admitted.
    pub admitted: AdmittedStream,
    /// The caller's connection.
    pub caller: CallerConnection,
    /// Counts what is held for the call.
    pub held: HeldCall,
    /// Id of the last event sent to the caller.
    pub last_event: Option<u64>,
    /// Attempt that brought the first event of the stream, if the caller has taken it up again.
    pub resumes: Option<String>,
    /// Whether an event was sent to the caller.
    pub has_begun: bool,
    /// Whether an event without an id was sent to the caller, after which no run can continue.
    pub lacks_event_ids: bool,
    /// Splits the stream into events.
    pub splitter: EventSplitter,
    /// Arrival time of the last event.
    pub last_event_at: Option<Duration>,
    /// How the last run ended that the stream could not go on with.
    pub last_run_end: RunEnd,
    /// Longest pause between two events so far.
    pub pause_max: Duration,
    /// Whether a pause of the current run is no longer a reason to resume, since no other target
    /// was available when it paused.
    pub waits_out_pauses: bool,
    /// The first event, buffered until the head of the answer has been sent.
    pub first_frame: Option<Frame<Bytes>>,
    /// How the stream ended; `None` while it is open.
    pub stream_end: Option<StreamEnd>,
}

/// Next outcome of reading the current run's stream.
enum StreamStep {
    Event(CompleteEvent),
    End,
    /// The connection ended before the stream.
    Closed(&'static str),
    /// No event arrived within the limit.
    Stalled,
    /// The run cannot be continued.
    Broken(&'static str),
    /// The run was given up for a successor, which failed.
    Lost(SendFailure),
    DeadlineExceeded,
}

impl Relay {
    /// Converts the relay into the body of the answer.
    #[must_use]
    pub fn into_body(self) -> ReplyBody {
        let stream = futures_util::stream::unfold(self, |mut relay| async move {
            let frame = relay.next_frame().await?;
            Some((frame, relay))
        });
        StreamBody::new(Box::pin(stream)).boxed_unsync()
    }

    /// Waits for the first event.
    ///
    /// # Errors
    ///
    /// Returns the refusal code if the stream was broken off before its first event.
    pub async fn begin(&mut self) -> Result<(), RefusalCode> {
        self.first_frame = match self.next_frame().await {
            Some(Ok(frame)) => Some(frame),
            Some(Err(_)) | None => None,
        };
        match self.stream_end {
            Some(StreamEnd::BrokenOff(code)) => Err(code),
            Some(StreamEnd::Complete) | None => Ok(()),
        }
    }

    async fn next_frame(&mut self) -> Option<std::io::Result<Frame<Bytes>>> {
        if let Some(frame) = self.first_frame.take() {
            self.held.note_passed_on();
            return Some(Ok(frame));
        }
        if self.stream_end.is_some() {
            return None;
        }
        self.held.note_waiting();
        let gateway = Arc::clone(&self.gateway);
        tokio::select! {
            biased;
            frame = self.next_frame_of_runs() => frame,
            () = gateway.cut() => Some(Err(self.cut())),
        }
    }

    async fn next_frame_of_runs(&mut self) -> Option<std::io::Result<Frame<Bytes>>> {
        let mut step = self.next_step().await;
        loop {
            match step {
                StreamStep::Event(event) => {
                    if let Some(bytes) = self.accept_event(event) {
                        return Some(Ok(Frame::data(bytes)));
                    }
                }
                StreamStep::End => return self.end().await,
                StreamStep::Closed(cause) => {
                    let followed_up = self.follow_up_closed().await;
                    if !self.continue_from_copy(followed_up).await {
                        let next = self.choose_successor(SendFailureKind::Unknown);
                        if !self.resume(cause, next).await {
                            return Some(Err(self.break_off(RefusalCode::TargetLost, cause)));
                        }
                    }
                }
                StreamStep::Stalled => {
                    // Boxed, since few streams stall.
                    if let Some(next_step) = Box::pin(self.replace_silent_run()).await {
                        step = next_step;
                        continue;
                    }
                }
                StreamStep::Broken(cause) => {
                    let next = self.choose_successor(SendFailureKind::Unknown);
                    if !self.resume(cause, next).await {
                        return Some(Err(self.break_off(RefusalCode::TargetLost, cause)));
                    }
                }
                StreamStep::Lost(failure) => {
                    let next = self.choose_successor(failure.end);
                    if !self.resume(failure.cause, next).await {
                        let code = RefusalCode::TargetLost;
                        return Some(Err(self.break_off(code, failure.cause)));
                    }
                }
                StreamStep::DeadlineExceeded => {
                    self.note_time();
                    let code = RefusalCode::DeadlineExceeded;
                    return Some(Err(self.break_off(code, "deadline")));
                }
            }
            step = self.next_step().await;
        }
    }

    async fn next_step(&mut self) -> StreamStep {
        loop {
            if self.gateway.now() >= self.deadline + LATE_EVENTS_TIME {
                return StreamStep::DeadlineExceeded;
            }
            if let Some(event) = self.splitter.next_event() {
                return StreamStep::Event(event);
            }
            let left = self.deadline.saturating_sub(self.gateway.now());
            let allows_another_send = allows_another_send(&self.terms, &self.attempts);
            let may_resume = allows_another_send && !self.waits_out_pauses && self.may_resume();
            let Some(run) = &mut self.run else {
                return StreamStep::Broken("no_run");
            };
            let wait = if may_resume {
                left.min(STALL_LIMIT)
            } else {
                left
            };
            let frame = match tokio::time::timeout(wait, run.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if left <= wait => return StreamStep::DeadlineExceeded,
                Err(_) => return StreamStep::Stalled,
            };
            if let Some(step) = self.step_of(frame) {
                return step;
            }
        }
    }

    /// Adds a frame of the current run to the stream; returns the next step unless it is to be read
    /// on.
    fn step_of(&mut self, frame: Option<hyper::Result<Frame<Bytes>>>) -> Option<StreamStep> {
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Some(StreamStep::Closed("broken")),
            None if self.splitter.is_empty() => return Some(StreamStep::End),
            None => return Some(StreamStep::Closed("half_event")),
        };
        let bytes = frame.into_data().unwrap_or_default();
        let has_room = self.splitter.push(&bytes);
        (!has_room).then_some(StreamStep::Broken("endless_event"))
    }

    /// Records an event; returns its bytes unless the caller already has it.
    fn accept_event(&mut self, event: CompleteEvent) -> Option<Bytes> {
        self.record.first_byte();
        let now = self.gateway.now();
        let before = self.last_event_at.replace(now).unwrap_or(now);
        self.pause_max = self.pause_max.max(now.saturating_sub(before));
        self.gateway.note_forwarded(event.bytes.len());
        self.admitted.note_event(event.bytes.len());
        if let Some(run) = &mut self.run {
            if !run.running.is_answered() {
                self.gateway.note_answer_begun(&self.call);
            }
            run.running.event();
            if run.lease.peer.is_none() {
                let reach = &mut self.gateway.state().reach;
                reach.note_received(now, &self.terms.service);
            }
        }
        let is_repeated = match (event.id, self.last_event) {
            (Some(id), Some(last)) => id <= last,
            _ => false,
        };
        if is_repeated {
            return None;
        }
        if !self.has_begun {
            self.has_begun = true;
            self.note_begun();
        }
        self.last_event = event.id.or(self.last_event);
        self.lacks_event_ids |= event.id.is_none();
        if let Some(copy) = &mut self.copy {
            copy.event();
        }
        self.reservation.delivering();
        self.held.note_event(event.bytes.len());
        Some(event.bytes)
    }

    /// Returns when the last event arrived, or when the call began.
    fn silent_since(&self) -> Duration {
        self.last_event_at.unwrap_or(self.record.began_at())
    }

    /// Records where the stream began, in case its caller takes it up again.
    fn note_begun(&self) {
        if !self.terms.route.kind.is_repeatable() {
            return;
        }
        let version = self.call.work.software_version.as_deref();
        let ids = [self.resumes.as_deref(), self.call.id.as_deref()];
        let ids = ids.into_iter().flatten();
        self.gateway
            .note_stream_begun(&self.terms, version.unwrap_or_default(), ids);
    }

    /// Breaks off a stream that the shutdown cannot wait for.
    fn cut(&mut self) -> std::io::Error {
        let error = self.break_off(RefusalCode::Stopping, "stopping");
        self.record.end(EventCode::CallCut, "cut_by_stop");
        error
    }

    /// Records the duration of the call for its route.
    fn note_time(&self) {
        let now = self.gateway.now();
        let took = now.saturating_sub(self.record.began_at());
        let route = &self.terms.route.name;
        self.gateway.state().call_times.note(route, took);
    }

    async fn end(&mut self) -> Option<std::io::Result<Frame<Bytes>>> {
        self.stream_end = Some(StreamEnd::Complete);
        self.note_time();
        self.record.add("pause_ms", self.pause_max.as_millis());
        self.record.end(EventCode::CallAnswered, "answered");
        let account = self.terms.account.as_deref();
        self.gateway.note_success(&self.call, account);
        if let Some(run) = self.run.take() {
            run.running.note(true);
            let reuse_for = run.head.reuse_for;
            run.lease.give_back(reuse_for).await;
        }
        None
    }

    fn break_off(&mut self, code: RefusalCode, cause: &'static str) -> std::io::Error {
        self.stream_end = Some(StreamEnd::BrokenOff(code));
        self.run = None;
        self.reservation.failed();
        self.record.add("pause_ms", self.pause_max.as_millis());
        let silent_for = self.gateway.now().saturating_sub(self.silent_since());
        self.record.add("silent_ms", silent_for.as_millis());
        self.record.add("run_end", self.last_run_end.as_str());
        self.record.add("cause", cause);
        self.record.end(EventCode::CallFailed, "broken_off");
        std::io::Error::other(cause)
    }
}
