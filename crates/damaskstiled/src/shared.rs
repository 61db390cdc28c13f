//! State that the daemon's threads share: the event queue, open calls and their request bodies.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskstile::core::prelude::*;
use tokio::sync::mpsc;

use crate::metrics::Metrics;

/// Capacity of the event queue to the decision thread.
const EVENT_QUEUE_SIZE: usize = 4096;
/// Part of the event queue that callers cannot fill, reserved for the store, peers and targets.
const EVENT_QUEUE_RESERVED: usize = 1024;

/// A message to the HTTP handler of a call.
#[derive(Debug)]
pub enum ToCaller {
    /// The request was accepted under this key.
    Accepted(RequestKey),
    /// A chunk of the answer.
    Chunk(String),
    /// The outcome; nothing follows it.
    Finished(Outcome),
    /// What is known of the request that was looked up.
    Explained(Option<Explanation>),
}

/// Content of a request. It stays in the host; the instance only sees its hash and size.
#[derive(Debug, Clone)]
pub struct RawRequest {
    /// Method of a plain call.
    pub method: http::Method,
    /// Path and query of a plain call; empty for a chat completion.
    pub path: String,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Request body.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct Calls {
    callers: BTreeMap<RequestHandle, mpsc::UnboundedSender<ToCaller>>,
    bodies: BTreeMap<RequestHandle, RawRequest>,
}

/// State shared by the threads of the daemon.
#[derive(Debug)]
pub struct SharedState {
    events: mpsc::Sender<Event>,
    calls: Mutex<Calls>,
    next_handle: AtomicU64,
    open_responses: AtomicUsize,
    /// Histograms and counters.
    pub metrics: Arc<Metrics>,
}

impl SharedState {
    /// Creates the shared state and the receiver of the event queue.
    pub fn new(metrics: Arc<Metrics>) -> (Self, mpsc::Receiver<Event>) {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_SIZE);
        let shared = Self {
            events,
            calls: Mutex::new(Calls::default()),
            next_handle: AtomicU64::new(1),
            open_responses: AtomicUsize::new(0),
            metrics,
        };
        (shared, receiver)
    }

    fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a call and returns its handle and the receiver of its messages.
    pub fn open(
        &self,
        raw: Option<RawRequest>,
    ) -> (RequestHandle, mpsc::UnboundedReceiver<ToCaller>) {
        let handle = self.next_handle.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut calls = self.calls();
        calls.callers.insert(handle, sender);
        if let Some(raw) = raw {
            calls.bodies.insert(handle, raw);
        }
        (handle, receiver)
    }

    /// Queues a caller's event unless only the reserved part of the queue is free.
    ///
    /// Returns whether the event was queued. If not, the instance never sees it.
    pub fn try_submit(&self, event: Event) -> bool {
        self.events.capacity() > EVENT_QUEUE_RESERVED && self.events.try_send(event).is_ok()
    }

    /// Queues an event, waiting while the queue is full.
    pub async fn submit(&self, event: Event) {
        // Sending fails only when the decision thread has ended and the process is about to exit.
        let _ = self.events.send(event).await;
    }

    /// Queues an event without waiting; it is dropped if the queue is full.
    pub fn submit_or_drop(&self, event: Event) {
        let _ = self.events.try_send(event);
    }

    /// Sends a message to a call's handler. The outcome or explanation also removes the handler.
    pub fn notify_caller(&self, handle: RequestHandle, message: ToCaller) {
        let is_last = matches!(message, ToCaller::Finished(_) | ToCaller::Explained(_));
        let mut calls = self.calls();
        if let Some(caller) = calls.callers.get(&handle) {
            let _ = caller.send(message);
        }
        if is_last {
            calls.callers.remove(&handle);
        }
    }

    /// Closes a call. If it had no outcome yet, the instance learns that the caller has gone.
    pub fn close(&self, handle: RequestHandle) {
        let was_open = self.calls().callers.remove(&handle).is_some();
        if was_open {
            self.submit_or_drop(Event::CallerGone { request: handle });
        }
    }

    /// Returns the content of a call's request.
    pub fn body(&self, handle: RequestHandle) -> Option<RawRequest> {
        self.calls().bodies.get(&handle).cloned()
    }

    /// Drops the content of a call's request.
    pub fn drop_body(&self, handle: RequestHandle) {
        self.calls().bodies.remove(&handle);
    }

    /// Adds one to the responses that callers are reading.
    pub fn response_opened(&self) {
        self.open_responses.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes one from the responses that callers are reading.
    pub fn response_closed(&self) {
        self.open_responses.fetch_sub(1, Ordering::Relaxed);
    }

    /// Blocks until all callers have read their responses or the limit has passed.
    pub fn wait_for_callers(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.open_responses.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(10));
        }
        // The last bytes may still be in the server's buffers; leave time to send them.
        std::thread::sleep(Duration::from_millis(100));
    }
}
