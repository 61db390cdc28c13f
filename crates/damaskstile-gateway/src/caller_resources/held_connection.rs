//! What is held for one connection.

use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_routes::Limits;
use tokio::sync::Notify;

use super::connection_phase::ConnectionPhase;
use super::endpoint::Endpoint;
use super::opened_connection::OpenedConnection;
use super::release_cause::ReleaseCause;
use super::socket_queue::SocketQueue;
use crate::segments::Segments;

use super::{CallNumber, ConnectionNumber, DISPLACED_AFTER, SENT_AHEAD_BYTES, STALLED_AFTER};

/// What is held for one connection.
#[derive(Debug)]
pub(super) struct HeldConnection {
    pub(super) endpoint: Endpoint,
    /// What the connection takes without a call.
    idle_bytes: usize,
    pub(super) phase: ConnectionPhase,
    /// Body that is being received.
    pub(super) body: Segments,
    /// Size of the parsed head and of what else each call needs.
    pub(super) call_bytes: usize,
    pub(super) answer_bytes: usize,
    /// Bytes that were received and not read, when they were last counted.
    pub(super) unread_bytes: usize,
    /// Bytes that the system may keep as its send buffer was enlarged; 0 once it is known to keep
    /// no more than the usual buffer.
    pub(super) unsent_bytes: usize,
    /// Whether the send buffer is enlarged.
    is_enlarged: bool,
    /// Whether the call had to give way while its body was received.
    pub(super) is_denied: bool,
    pub(super) closed_by: Option<ReleaseCause>,
    /// When the phase began.
    since: Duration,
    /// When the first byte of an incomplete head was noticed.
    head_since: Option<Duration>,
    /// When a part of the answer was last passed on.
    answered_at: Duration,
    /// Whether the caller has accepted all of the answer that there is.
    is_waiting: bool,
    /// Size of the body of a call that may run.
    body_bytes: usize,
    /// The latest call; 0 before the first.
    call: CallNumber,
    queue: Option<Arc<dyn SocketQueue>>,
    closing: Arc<Notify>,
    denied: Arc<Notify>,
}

impl HeldConnection {
    pub(super) fn new(
        now: Duration,
        endpoint: Endpoint,
        idle_bytes: usize,
        queue: Option<Arc<dyn SocketQueue>>,
    ) -> Self {
        Self {
            endpoint,
            idle_bytes,
            phase: ConnectionPhase::Waiting,
            body: Segments::default(),
            call_bytes: 0,
            answer_bytes: 0,
            unread_bytes: 0,
            unsent_bytes: 0,
            is_enlarged: false,
            is_denied: false,
            closed_by: None,
            since: now,
            head_since: None,
            answered_at: now,
            is_waiting: true,
            body_bytes: 0,
            call: 0,
            queue,
            closing: Arc::default(),
            denied: Arc::default(),
        }
    }

    pub(super) fn opened(&self, number: ConnectionNumber, has_displaced: bool) -> OpenedConnection {
        OpenedConnection {
            number,
            closing: Arc::clone(&self.closing),
            denied: Arc::clone(&self.denied),
            has_displaced,
        }
    }

    /// Returns the bytes held for the connection.
    pub(super) fn bytes(&self) -> usize {
        self.idle_bytes + self.bytes_of_call()
    }

    /// Returns the bytes held for the call on the connection.
    pub(super) fn bytes_of_call(&self) -> usize {
        self.call_bytes
            + self.body.capacity()
            + self.body_bytes
            + self.answer_bytes
            + self.unread_bytes
            + self.unsent_bytes
    }

    /// Returns what the connection costs others, as bytes held times the time for which they were
    /// held; `None` if it cannot give way. `more` are bytes that it needs in addition.
    pub(super) fn cost(&self, now: Duration, more: usize) -> Option<u128> {
        if self.closed_by.is_some() {
            return None;
        }
        let since = match self.phase {
            ConnectionPhase::Receiving if !self.is_denied => self.since,
            ConnectionPhase::Answering if self.is_stalled(now, STALLED_AFTER) => self.answered_at,
            ConnectionPhase::Running | ConnectionPhase::Answering
                if self.unread_bytes >= SENT_AHEAD_BYTES =>
            {
                self.since
            }
            _ => return None,
        };
        let held_ms = now.saturating_sub(since).as_millis() + 1;
        let bytes = u128::try_from(self.bytes_of_call() + more).unwrap_or(u128::MAX);
        Some(bytes.saturating_mul(held_ms))
    }

    /// Returns the rank of the connection among those that may be closed for a new one, the lowest
    /// first; `None` if it may not. One that never had a call is of less use than one that is kept
    /// for the next.
    pub(super) fn rank_to_close(&self, now: Duration) -> Option<(u8, Duration)> {
        if self.closed_by.is_some() {
            return None;
        }
        match self.phase {
            ConnectionPhase::Lingering => Some((0, self.since)),
            ConnectionPhase::Waiting => Some((1 + u8::from(self.call > 0), self.since)),
            ConnectionPhase::Receiving => Some((3, self.since)),
            ConnectionPhase::Answering if self.is_stalled(now, DISPLACED_AFTER) => {
                Some((4, self.answered_at))
            }
            ConnectionPhase::Running | ConnectionPhase::Answering => None,
        }
    }

    /// Returns why the connection is to be closed if its caller takes too long.
    pub(super) fn expired(&mut self, now: Duration, limits: &Limits) -> Option<ReleaseCause> {
        if self.closed_by.is_some() {
            return None;
        }
        let is_over = |since: Duration, limit: Duration| now.saturating_sub(since) >= limit;
        match self.phase {
            ConnectionPhase::Waiting => {
                let has_read = self
                    .queue
                    .as_ref()
                    .is_some_and(|queue| queue.take_has_read());
                if has_read && self.head_since.is_none() {
                    self.head_since = Some(now);
                }
                let is_slow = |since| is_over(since, limits.header_timeout);
                if self.head_since.is_some_and(is_slow) {
                    return Some(ReleaseCause::SlowHead);
                }
                is_over(self.since, limits.idle_timeout.max(limits.header_timeout))
                    .then_some(ReleaseCause::Idle)
            }
            ConnectionPhase::Answering => {
                let queue = self.queue.as_ref();
                if queue.is_some_and(|queue| queue.take_has_progressed()) {
                    self.answered_at = now;
                }
                let is_slow = !self.is_waiting && is_over(self.answered_at, limits.idle_timeout);
                is_slow.then_some(ReleaseCause::SlowReader)
            }
            _ => None,
        }
    }

    /// Returns whether the process does not read from the connection now.
    pub(super) fn leaves_bytes_unread(&self) -> bool {
        matches!(
            self.phase,
            ConnectionPhase::Running | ConnectionPhase::Answering
        )
    }

    pub(super) fn count_unread(&mut self) {
        if let Some(queue) = &self.queue {
            self.unread_bytes = queue.unread_bytes();
        }
    }

    pub(super) fn set_phase(&mut self, now: Duration, phase: ConnectionPhase) {
        self.phase = phase;
        self.since = now;
    }

    pub(super) fn begin_call(&mut self, now: Duration, call: CallNumber) {
        self.release_call();
        self.call = call;
        self.set_phase(now, ConnectionPhase::Receiving);
    }

    pub(super) fn take_body(&mut self, now: Duration) -> Bytes {
        self.body_bytes = self.body.capacity();
        self.set_phase(now, ConnectionPhase::Running);
        std::mem::take(&mut self.body).into_bytes()
    }

    pub(super) fn begin_answer(&mut self, now: Duration) {
        self.set_phase(now, ConnectionPhase::Answering);
        self.note_answer(now, true);
    }

    pub(super) fn note_answer(&mut self, now: Duration, is_waiting: bool) {
        self.is_waiting = is_waiting;
        self.answered_at = now;
    }

    pub(super) fn enlarge_send_buffer(&mut self, size: usize, unsent_bytes: usize) {
        if !self.is_enlarged {
            self.is_enlarged = true;
            self.set_send_buffer(size);
        }
        self.unsent_bytes = unsent_bytes;
    }

    /// Reduces an enlarged send buffer. What it held counts until something was written after that:
    /// the system accepts bytes only while it keeps fewer than the size.
    pub(super) fn reduce_send_buffer(&mut self, size: usize) {
        if self.is_enlarged {
            self.is_enlarged = false;
            self.set_send_buffer(size);
        } else if self.queue.as_ref().is_none_or(|queue| queue.has_written()) {
            self.unsent_bytes = 0;
        }
    }

    fn set_send_buffer(&self, bytes: usize) {
        if let Some(queue) = &self.queue {
            queue.set_send_buffer(bytes);
        }
    }

    pub(super) fn end_call(&mut self, now: Duration, call: CallNumber) {
        if self.call != call {
            return;
        }
        self.release_call();
        self.set_phase(now, ConnectionPhase::Waiting);
        // What was read before belongs to the call that ended.
        if let Some(queue) = &self.queue {
            queue.take_has_read();
        }
    }

    /// Releases the body of a call that is then refused.
    pub(super) fn deny(&mut self) {
        self.is_denied = true;
        self.body = Segments::default();
        self.denied.notify_one();
    }

    /// Has the connection closed. What it holds counts as released: its task drops it next.
    pub(super) fn close(&mut self, cause: ReleaseCause) {
        self.closed_by = Some(cause);
        self.release_call();
        self.closing.notify_one();
    }

    fn release_call(&mut self) {
        self.body = Segments::default();
        self.body_bytes = 0;
        self.call_bytes = 0;
        self.answer_bytes = 0;
        self.unread_bytes = 0;
        self.is_denied = false;
        self.head_since = None;
    }

    /// Returns whether the caller has accepted nothing of its answer for so long.
    fn is_stalled(&self, now: Duration, time: Duration) -> bool {
        !self.is_waiting && now.saturating_sub(self.answered_at) >= time
    }
}
