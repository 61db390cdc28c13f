//! Guard of what is held for a call.

use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use http::request;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::answer_body::AnswerBody;
use crate::body_failure::BodyFailure;
use crate::caller_connection::CallerConnection;
use crate::caller_resources::{CallNumber, ConnectionNumber, ReleaseCause};
use crate::gateway::Gateway;
use crate::segments::Segments;

/// Pause between two attempts to find room for an answer.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);
/// Size up to which an answer takes its room as it grows. A larger one takes all that it may need.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;
/// Size from which on an event of a stream is counted. Smaller ones fit into what is counted for
/// each call.
const EVENT_BYTES_MIN: usize = 4 * 1024;
/// Size of an event from which on a stream is passed on with a larger buffer.
const LARGE_EVENT_BYTES: usize = 16 * 1024;
/// Copies of an event on its way: as it is received, and as it is written.
const EVENT_COPIES: usize = 2;

/// Counts what is held for a call until it is dropped.
#[derive(Debug, Default)]
pub struct HeldCall {
    /// `None` once another guard has taken over.
    held: Option<Held>,
    /// Size of the largest event so far.
    event_bytes: usize,
}

#[derive(Debug)]
struct Held {
    gateway: Arc<Gateway>,
    connection: ConnectionNumber,
    call: CallNumber,
    caller: CallerConnection,
}

impl Held {
    /// Sets the bytes of the answer that are held; returns whether there is room for them.
    fn hold_answer(&self, bytes: usize) -> bool {
        let now = self.gateway.now();
        let mut resources = self.gateway.caller_resources();
        resources.hold_answer(now, self.connection, bytes)
    }
}

impl HeldCall {
    /// Begins to count a call whose head was received.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for the call.
    pub fn begin(
        gateway: &Arc<Gateway>,
        caller: &CallerConnection,
        head: &request::Parts,
    ) -> Result<Self, ReleaseCause> {
        let now = gateway.now();
        let fields = head.headers.iter();
        let bytes = fields.map(|(name, value)| name.as_str().len() + value.len());
        let bytes = bytes.sum::<usize>() + head.uri.path().len();
        let count = head.headers.len();
        let call = gateway
            .caller_resources()
            .begin_call(now, caller.number, count, bytes)?;
        Ok(Self {
            held: Some(Held {
                gateway: Arc::clone(gateway),
                connection: caller.number,
                call,
                caller: caller.clone(),
            }),
            event_bytes: 0,
        })
    }

    /// Moves what is counted to a new guard.
    #[must_use]
    pub(crate) fn hand_over(&mut self) -> Self {
        std::mem::take(self)
    }

    /// Receives the body of the call.
    ///
    /// # Errors
    ///
    /// Returns why the body is not complete; the call has not run then.
    pub(crate) async fn receive(
        &self,
        mut body: Incoming,
        bytes_max: usize,
    ) -> Result<Bytes, BodyFailure> {
        let Some(held) = &self.held else {
            return Err(BodyFailure::Denied);
        };
        let announced = body.size_hint();
        let is_within = |bytes: u64| usize::try_from(bytes).is_ok_and(|bytes| bytes <= bytes_max);
        if !is_within(announced.lower()) {
            return Err(BodyFailure::TooLarge);
        }
        let expected = announced.exact().map_or(bytes_max, |bytes| {
            usize::try_from(bytes).unwrap_or(bytes_max)
        });
        let mut received = 0;
        loop {
            let frame = tokio::select! {
                biased;
                () = held.caller.denied.notified() => {
                    // A notification that is left over from an earlier call means nothing.
                    if held.gateway.caller_resources().is_denied(held.connection) {
                        return Err(BodyFailure::Denied);
                    }
                    continue;
                }
                frame = body.frame() => frame,
            };
            let data = match frame {
                None => break,
                Some(Err(_)) => return Err(BodyFailure::Broken),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            received += data.len();
            if received > bytes_max {
                return Err(BodyFailure::TooLarge);
            }
            let now = held.gateway.now();
            let mut resources = held.gateway.caller_resources();
            resources
                .receive(now, held.connection, &data, expected)
                .map_err(|_| BodyFailure::Denied)?;
        }
        let now = held.gateway.now();
        let mut resources = held.gateway.caller_resources();
        if resources.is_denied(held.connection) {
            return Err(BodyFailure::Denied);
        }
        Ok(resources.take_body(now, held.connection))
    }

    /// Reads a complete answer of a target. Waits while there is no room for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer breaks off or is too large.
    pub(crate) async fn collect_answer(
        &self,
        mut body: AnswerBody,
        bytes_max: usize,
    ) -> Result<Segments, BodyFailure> {
        let announced = body.size_hint().exact();
        let expected = announced.and_then(|bytes| usize::try_from(bytes).ok());
        let expected = expected.map_or(bytes_max, |bytes| bytes.min(bytes_max));
        let mut answer = Segments::default();
        let mut reserved = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyFailure::Broken)?;
            let data = frame.into_data().unwrap_or_default();
            if answer.len() + data.len() > bytes_max {
                return Err(BodyFailure::TooLarge);
            }
            let needed = answer.capacity() + answer.growth(data.len(), expected);
            if needed > reserved {
                // Answers that took their room bit by bit could all wait for each other.
                reserved = if needed <= SMALL_ANSWER_BYTES {
                    needed
                } else {
                    needed.max(expected)
                };
                self.wait_for_room(reserved).await;
            }
            answer.extend(&data, expected);
        }
        if let Some(held) = &self.held {
            held.hold_answer(answer.capacity());
        }
        Ok(answer)
    }

    /// Waits until there is room for an answer.
    async fn wait_for_room(&self, bytes: usize) {
        let Some(held) = &self.held else {
            return;
        };
        while !held.caller.has_left() {
            if held.hold_answer(bytes) {
                return;
            }
            tokio::time::sleep(ROOM_INTERVAL).await;
        }
        // The connection's task does not learn of it while the caller has sent further calls. It
        // drops this future.
        held.gateway.caller_resources().close_left(held.connection);
        std::future::pending::<()>().await;
    }

    /// Records that the answer begins.
    pub(crate) fn begin_answer(&self) {
        if let Some(held) = &self.held {
            let now = held.gateway.now();
            held.gateway
                .caller_resources()
                .begin_answer(now, held.connection);
        }
    }

    /// Records that a part of a complete answer is passed on, and how much is left.
    pub(crate) fn note_part(&self, left_bytes: usize) {
        if let Some(held) = &self.held {
            held.hold_answer(left_bytes);
        }
        self.note_passed_on();
    }

    /// Enlarges the buffer in which the system keeps what the caller has not acknowledged.
    pub(crate) fn enlarge_send_buffer(&self) {
        if let Some(held) = &self.held {
            let now = held.gateway.now();
            let mut resources = held.gateway.caller_resources();
            resources.enlarge_send_buffer(now, held.connection);
        }
    }

    /// Records that the caller waits for more of its answer.
    pub(crate) fn note_waiting(&self) {
        self.note_answer(true);
    }

    /// Records that a part of the answer is passed on.
    pub(crate) fn note_passed_on(&self) {
        self.note_answer(false);
    }

    /// Counts an event of a stream that is passed on.
    pub(crate) fn note_event(&mut self, bytes: usize) {
        if bytes > self.event_bytes.max(EVENT_BYTES_MIN)
            && let Some(held) = &self.held
        {
            self.event_bytes = bytes;
            let now = held.gateway.now();
            let mut resources = held.gateway.caller_resources();
            // The event is there already, so it is counted whether there is room or not.
            resources.hold_event(now, held.connection, bytes * EVENT_COPIES);
            if bytes >= LARGE_EVENT_BYTES {
                resources.enlarge_send_buffer(now, held.connection);
            }
        }
        self.note_passed_on();
    }

    fn note_answer(&self, is_waiting: bool) {
        if let Some(held) = &self.held {
            let now = held.gateway.now();
            let mut resources = held.gateway.caller_resources();
            resources.note_answer(now, held.connection, is_waiting);
        }
    }
}

impl Drop for HeldCall {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            let now = held.gateway.now();
            let mut resources = held.gateway.caller_resources();
            resources.end_call(now, held.connection, held.call);
        }
    }
}
