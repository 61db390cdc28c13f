//! State and services shared by all background tasks of an instance.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use damaskstile_core::prelude::*;
use damaskstile_routes::Limits;
use slog::Logger;
use tokio::sync::{Notify, mpsc, watch};

use crate::busy_times::BusyTimes;
use crate::caller_resources::CallerResources;
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
use crate::run_copy::allows_copies;
use crate::sent_bytes::SentBytes;
use crate::state::{State, Terms};
use crate::stop_times::StopTimes;
use crate::target_ends::TargetEndChecks;

/// Capacity of the queue of messages to peers: one receipt for each instance of the largest
/// expected fleet.
const OUTBOX_CAPACITY: usize = 512;

/// State and services shared by all background tasks of an instance.
pub struct Gateway {
    /// Configuration.
    pub options: GatewayOptions,
    /// Clock that all decisions use.
    pub clock: Clock,
    /// When this instance started.
    pub started_at: Duration,
    /// Translates the headers of callers and targets.
    pub dialect: Box<dyn Dialect>,
    /// Parses stored objects.
    pub directory: Box<dyn Directory>,
    /// The platform's store, with its calls counted.
    pub store: CountedStore,
    /// Pool of connections to targets.
    pub pool: Arc<Pool>,
    /// Checks whether targets have ended.
    pub end_checks: TargetEndChecks,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Bytes sent to peers, by purpose.
    pub sent_bytes: SentBytes,
    /// Processor time of each background task.
    pub busy_times: Arc<BusyTimes>,
    /// Longest recent durations of connects, body reads and blocked writes.
    pub link_times: Arc<LinkTimes>,
    /// Logger for numbered events.
    pub log: Logger,
    /// Wakes the task that writes to the ledger.
    pub round_wanted: Notify,
    /// Wakes calls that wait for tokens after each ledger round.
    pub round_done: Notify,
    /// Queue of messages for the task that sends to peers.
    pub outbox: mpsc::Sender<Outgoing>,
    /// Wakes the task that reads the catalogue when a peer has a newer one.
    pub catalogue_wanted: Notify,
    /// Wakes the gossip task, which sends updates to peers.
    pub gossip_wanted: Notify,
    /// Wakes calls that wait for an answer to a loan request.
    pub loan_answers: Notify,
    /// Wakes the task that reports ended loans to their lenders.
    pub loans_ended: Notify,
    /// Wakes the task that reports streams that began to peers.
    pub streams_begun: Notify,
    /// Wakes calls that wait for answers on where their streams began.
    pub stream_answers: Notify,
    /// Wakes the task that requests tokens from peers.
    pub tokens_wanted: Notify,
    /// Number of store outages that have ended. A change wakes the store watches, which may have
    /// been lost during the outage.
    pub outages_ended: watch::Sender<u64>,
    /// Current phase of the shutdown, observed by all tasks.
    pub phase: watch::Sender<Phase>,
    /// Schedule of the shutdown, set when it is ordered.
    pub stop_times: OnceLock<StopTimes>,
    open_calls: AtomicUsize,
    open_connections: AtomicUsize,
    caller_resources: Mutex<CallerResources>,
    state: Mutex<State>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway").finish_non_exhaustive()
    }
}

impl Gateway {
    /// Creates a gateway that is not serving yet, and the receiving end of its queue of messages to
    /// peers.
    #[must_use]
    pub fn new(
        options: GatewayOptions,
        dialect: Box<dyn Dialect>,
        directory: Box<dyn Directory>,
        store: Arc<dyn ObjectStore>,
        log: Logger,
    ) -> (Arc<Self>, mpsc::Receiver<Outgoing>) {
        let (outbox, outbox_out) = mpsc::channel(OUTBOX_CAPACITY);
        let clock = Clock::start();
        let (link_times, busy_times) = (Arc::default(), Arc::default());
        let state = Mutex::new(State::new(&options, clock.now()));
        let gateway = Arc::new(Self {
            started_at: clock.now(),
            clock,
            dialect,
            directory,
            store: CountedStore::new(store),
            pool: Pool::bounded(&link_times, &busy_times, &options.callers),
            busy_times,
            link_times,
            end_checks: TargetEndChecks::default(),
            metrics: Metrics::new(),
            sent_bytes: SentBytes::default(),
            log,
            round_wanted: Notify::new(),
            round_done: Notify::new(),
            catalogue_wanted: Notify::new(),
            gossip_wanted: Notify::new(),
            tokens_wanted: Notify::new(),
            streams_begun: Notify::new(),
            stream_answers: Notify::new(),
            loan_answers: Notify::new(),
            loans_ended: Notify::new(),
            outages_ended: watch::Sender::new(0),
            phase: watch::Sender::new(Phase::Serving),
            stop_times: OnceLock::new(),
            open_calls: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            caller_resources: Mutex::new(CallerResources::new(options.callers)),
            state,
            options,
            outbox,
        });
        (gateway, outbox_out)
    }

    /// Locks the shared state. The lock is held for one decision, never across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        // A panicking task leaves the state as it was between two decisions, so the poison flag is
        // ignored.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is held for callers. Like the state, for one decision.
    pub fn caller_resources(&self) -> MutexGuard<'_, CallerResources> {
        let resources = self.caller_resources.lock();
        resources.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limits for callers of the catalogue in force, or the usual ones before the first
    /// catalogue.
    pub fn limits(&self) -> Limits {
        let state = self.state();
        let catalogue = state.catalogue.get();
        catalogue
            .map(|catalogue| *catalogue.limits())
            .unwrap_or_default()
    }

    /// Returns the current time of the decision clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Writes a numbered event.
    pub fn log(&self, code: EventCode, fields: &[(&str, &str)]) {
        logs::write(&self.log, &LogEvent::new(code, fields));
    }

    /// Records bytes of an answer that arrived from a target and are forwarded to a caller.
    pub(crate) fn note_forwarded(&self, bytes: usize) {
        let now = self.now();
        let pressure = &mut self.state().pressure;
        pressure.note_received(now, bytes);
        pressure.note_sent(now, bytes);
        pressure.note_event();
    }

    /// Counts a run that begins, if copies of runs of its service are possible.
    pub(crate) fn note_run_begun(&self, terms: &Terms) {
        if allows_copies(terms) {
            let now = self.now();
            self.state().run_copies.note_begun(now, &terms.service);
        }
    }

    /// Counts a run that a crashed target cut, if copies of runs of its service are possible.
    pub(crate) fn note_run_lost(&self, terms: &Terms) {
        if !allows_copies(terms) {
            return;
        }
        let now = self.now();
        let gets_copies = self.state().run_copies.note_lost(now, &terms.service);
        if gets_copies {
            self.gossip_wanted.notify_one();
        }
    }

    /// Returns whether a call that began at `began_at` is expected to finish before the shutdown
    /// would cut it off; always true while no shutdown is ordered.
    pub fn finishes_in_time(&self, route: &str, began_at: Duration, deadline: Duration) -> bool {
        let Some(times) = self.stop_times.get() else {
            return true;
        };
        if self.now() >= times.cut_at {
            return false;
        }
        let time = times.cut_at.saturating_sub(began_at);
        deadline <= times.cut_at || self.state().call_times.finishes_within(route, time)
    }

    /// Waits for the phase in which open calls are cut off.
    pub async fn cut(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway, so this cannot fail.
        let _ = phase.wait_for(|phase| *phase == Phase::Ending).await;
    }

    /// Counts a caller's connection as open until the returned guard is dropped.
    pub fn open_connection(self: &Arc<Self>) -> OpenConnection {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection::new(Arc::clone(self))
    }

    /// Called when a caller's connection is closed and everything written to it has been sent.
    pub(crate) fn close_connection(&self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open connections from callers.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Counts a call as open until the guard is dropped.
    pub fn open_call(self: &Arc<Self>) -> OpenCall {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
        OpenCall::new(Arc::clone(self))
    }

    /// Called when an open call has ended.
    pub(crate) fn close_call(&self) {
        self.open_calls.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open calls.
    pub fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::Relaxed)
    }
}
