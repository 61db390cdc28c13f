//! `gateway` is what all duties of an instance share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use damaskstile_core::prelude::*;
use slog::Logger;
use tokio::sync::{Notify, mpsc, watch};

use crate::busy_times::BusyTimes;
use crate::clock::Clock;
use crate::counted_store::CountedStore;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::link_times::LinkTimes;
use crate::logs;
use crate::metrics::Metrics;
use crate::objects::ObjectStore;
use crate::open_call::OpenCall;
use crate::open_connection::OpenConnection;
use crate::options::GatewayOptions;
use crate::outgoing::Outgoing;
use crate::phase::Phase;
use crate::pool::Pool;
use crate::sent_bytes::SentBytes;
use crate::state::State;
use crate::stop_times::StopTimes;
use crate::target_ends::TargetEnds;

/// Messages that may wait to be sent to peers: a receipt for each of the largest fleet in view.
const OUTBOX_RING: usize = 512;

/// `Gateway` is what all duties of an instance share.
pub struct Gateway {
    /// How it is set up.
    pub options: GatewayOptions,
    /// Time of the decisions.
    pub clock: Clock,
    /// When this instance started.
    pub started_at: Duration,
    /// Headers of callers and targets.
    pub dialect: Box<dyn Dialect>,
    /// Stored objects.
    pub directory: Box<dyn Directory>,
    /// The platform's store.
    pub store: CountedStore,
    /// Kept connections to targets.
    pub pool: Arc<Pool>,
    /// Finds out whether targets have ended.
    pub ends: TargetEnds,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Bytes sent to peers.
    pub sent_bytes: SentBytes,
    /// Time spent on each duty.
    pub busy_times: Arc<BusyTimes>,
    /// How long what passes the link takes.
    pub link_times: Arc<LinkTimes>,
    /// Numbered events.
    pub log: Logger,
    /// Wakes the duty that writes to the ledger.
    pub round_wanted: Notify,
    /// Wakes calls that wait for tokens.
    pub round_done: Notify,
    /// Messages for the duty that sends to peers.
    pub outbox: mpsc::Sender<Outgoing>,
    /// Wakes the duty that reads the catalogue, where a peer has a newer one.
    pub catalogue_wanted: Notify,
    /// Wakes the duty that tells peers.
    pub news: Notify,
    /// Wakes calls that wait for a loan.
    pub loans_heard: Notify,
    /// Wakes the duty that tells lenders which loans are over.
    pub loans_ended: Notify,
    /// Wakes the duty that asks peers for tokens.
    pub tokens_wanted: Notify,
    /// Counts the outages of the store that are over, and wakes the watches that may have been lost
    /// in one.
    pub outages_over: watch::Sender<u64>,
    /// Tells all duties how far a stop has come.
    pub phase: watch::Sender<Phase>,
    /// The moments of a stop, once one was ordered.
    pub stop_times: OnceLock<StopTimes>,
    open_calls: AtomicUsize,
    open_connections: AtomicUsize,
    state: Mutex<State>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").finish_non_exhaustive()
    }
}

impl Gateway {
    /// Makes a gateway that has not begun to serve, with the ring of its messages to peers.
    #[must_use]
    pub fn new(
        options: GatewayOptions,
        dialect: Box<dyn Dialect>,
        directory: Box<dyn Directory>,
        store: Arc<dyn ObjectStore>,
        log: Logger,
    ) -> (Arc<Self>, mpsc::Receiver<Outgoing>) {
        let (outbox, outbox_out) = mpsc::channel(OUTBOX_RING);
        let clock = Clock::start();
        let (link_times, busy_times) = (Arc::default(), Arc::default());
        let state = Mutex::new(State::new(&options, clock.now()));
        let gateway = Arc::new(Self {
            started_at: clock.now(),
            clock,
            dialect,
            directory,
            store: CountedStore::new(store),
            pool: Pool::new(&link_times, &busy_times),
            busy_times,
            link_times,
            ends: TargetEnds::default(),
            metrics: Metrics::new(),
            sent_bytes: SentBytes::default(),
            log,
            round_wanted: Notify::new(),
            round_done: Notify::new(),
            catalogue_wanted: Notify::new(),
            news: Notify::new(),
            tokens_wanted: Notify::new(),
            loans_heard: Notify::new(),
            loans_ended: Notify::new(),
            outages_over: watch::Sender::new(0),
            phase: watch::Sender::new(Phase::Serving),
            stop_times: OnceLock::new(),
            open_calls: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            state,
            options,
            outbox,
        });
        (gateway, outbox_out)
    }

    /// Returns the state to decide by. It is held for a decision, never across a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        // A panic in another duty leaves the state as it was between two decisions.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time of the decisions.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Writes a numbered event.
    pub fn log(&self, code: EventCode, fields: &[(&str, &str)]) {
        logs::write(&self.log, &LogEvent::new(code, fields));
    }

    /// Notes bytes of an answer that came from a target and go on to a caller.
    pub(crate) fn note_passed(&self, bytes: usize) {
        let now = self.now();
        let pressure = &mut self.state().pressure;
        pressure.note_received(now, bytes);
        pressure.note_sent(now, bytes);
    }

    /// Tells whether a call that began at some time can be expected to be over before a stop would
    /// cut it off; always, while no stop was ordered.
    pub fn is_over_in_time(&self, route: &str, began_at: Duration, deadline: Duration) -> bool {
        let Some(times) = self.stop_times.get() else {
            return true;
        };
        if self.now() >= times.cut_at {
            return false;
        }
        let time = times.cut_at.saturating_sub(began_at);
        deadline <= times.cut_at || self.state().call_times.is_over_within(route, time)
    }

    /// Waits until open calls are cut off.
    pub async fn cut(&self) {
        let mut phase = self.phase.subscribe();
        // The phases live as long as the gateway.
        let _ = phase.wait_for(|phase| *phase == Phase::Ending).await;
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub fn open_connection(self: &Arc<Self>) -> OpenConnection {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection::new(Arc::clone(self))
    }

    /// Notes that a caller's connection is closed, with all that was written to it sent.
    pub(crate) fn close_connection(&self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of callers' connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Counts a call as open until the guard is dropped.
    pub fn open_call(self: &Arc<Self>) -> OpenCall {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        OpenCall::new(Arc::clone(self))
    }

    /// Notes that an open call has ended.
    pub(crate) fn close_call(&self) {
        self.open_calls.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open calls.
    pub fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::Relaxed)
    }
}
