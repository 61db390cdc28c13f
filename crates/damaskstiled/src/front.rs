//! `front` joins the threads that take calls to the one that decides.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use damaskstile::core::prelude::*;
use tokio::sync::mpsc;

use crate::metrics::Metrics;

/// Events that may wait to be decided on.
const EVENT_RING: usize = 4096;
/// Events kept free for answers of the store, peers and targets; callers cannot fill them.
const EVENTS_RESERVED: usize = 1024;

/// `ToCaller` is one message to the handler of a call.
#[derive(Debug)]
pub enum ToCaller {
    /// The key under which the request is known.
    Accepted(RequestKey),
    /// A piece of the answer.
    Piece(String),
    /// The final word.
    Answer(Outcome),
    /// What became of the request that was asked about.
    Explained(Option<Explanation>),
}

/// `Kept` is the request's content, which only the host sees.
#[derive(Debug, Clone)]
pub struct Kept {
    /// Method of a plain call.
    pub method: http::Method,
    /// Path of a plain call; empty for a model.
    pub path: String,
    /// Type of the content.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct Calls {
    callers: BTreeMap<RequestHandle, mpsc::UnboundedSender<ToCaller>>,
    bodies: BTreeMap<RequestHandle, Kept>,
}

/// `Front` joins the threads that take calls to the one that decides.
#[derive(Debug)]
pub struct Front {
    events: mpsc::Sender<Event>,
    calls: Mutex<Calls>,
    next_handle: AtomicU64,
    open_streams: AtomicUsize,
    /// Histograms and counters.
    pub metrics: Arc<Metrics>,
}

impl Front {
    /// Makes the front and the end of the ring that the deciding thread reads.
    pub fn new(metrics: Arc<Metrics>) -> (Self, mpsc::Receiver<Event>) {
        let (events, receiver) = mpsc::channel(EVENT_RING);
        let front = Self {
            events,
            calls: Mutex::new(Calls::default()),
            next_handle: AtomicU64::new(1),
            open_streams: AtomicUsize::new(0),
            metrics,
        };
        (front, receiver)
    }

    fn calls(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a call and returns its handle and the messages that will come for it.
    pub fn open(&self, kept: Option<Kept>) -> (RequestHandle, mpsc::UnboundedReceiver<ToCaller>) {
        let handle = self.next_handle.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut calls = self.calls();
        calls.callers.insert(handle, sender);
        if let Some(kept) = kept {
            calls.bodies.insert(handle, kept);
        }
        (handle, receiver)
    }

    /// Hands a caller's event over, unless the ring is nearly full. Then nothing was decided.
    pub fn try_submit(&self, event: Event) -> bool {
        self.events.capacity() > EVENTS_RESERVED && self.events.try_send(event).is_ok()
    }

    /// Hands an event over, and waits for room.
    pub async fn submit(&self, event: Event) {
        // The receiver is gone only when the process is about to end.
        let _ = self.events.send(event).await;
    }

    /// Hands an event over from a place that cannot wait.
    pub fn submit_now(&self, event: Event) {
        let _ = self.events.try_send(event);
    }

    /// Sends a message to a call's handler.
    pub fn tell(&self, handle: RequestHandle, message: ToCaller) {
        let is_last = matches!(message, ToCaller::Answer(_) | ToCaller::Explained(_));
        let mut calls = self.calls();
        if let Some(caller) = calls.callers.get(&handle) {
            let _ = caller.send(message);
        }
        if is_last {
            calls.callers.remove(&handle);
        }
    }

    /// Forgets a call whose caller has gone.
    pub fn close(&self, handle: RequestHandle) {
        let was_open = self.calls().callers.remove(&handle).is_some();
        if was_open {
            self.submit_now(Event::CallerGone { request: handle });
        }
    }

    /// Returns the content of a call's request.
    pub fn body(&self, handle: RequestHandle) -> Option<Kept> {
        self.calls().bodies.get(&handle).cloned()
    }

    /// Lets go of the content of a call's request.
    pub fn drop_body(&self, handle: RequestHandle) {
        self.calls().bodies.remove(&handle);
    }

    /// Counts an answer that is being read by its caller.
    pub fn stream_opened(&self) {
        self.open_streams.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an answer that was read, or whose caller has gone.
    pub fn stream_closed(&self) {
        self.open_streams.fetch_sub(1, Ordering::Relaxed);
    }

    /// Waits until all callers have read their answers, or the time is over.
    pub fn wait_for_callers(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.open_streams.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(10));
        }
        // The last bytes are with the server's sockets; give them a moment to leave.
        std::thread::sleep(Duration::from_millis(100));
    }
}
