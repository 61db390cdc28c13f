//! The decision thread: passes events to the instance and carries out its effects.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use damaskstile::core::peer::MemberState;
use damaskstile::core::prelude::*;
use damaskstile::{Instance, InstanceOptions};
use slog::Logger;
use tokio::sync::mpsc::{Receiver, Sender};

use crate::config::Config;
use crate::shared::{SharedState, ToCaller};
use damaskstile_gateway::clock::Clock;
use damaskstile_gateway::logs;

use crate::peers::ToPeers;
use crate::recorder::Recorder;
use crate::status::Status;
use crate::store::ToStore;
use crate::targets::ToTargets;
use crate::timings::Timings;

/// Queued events that are handled in one go before the status and the next wake-up are due again.
const MAX_EVENTS_PER_TURN: usize = 64;
/// Interval between two status snapshots.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);

/// Channels to the threads that perform input and output.
#[derive(Debug)]
pub struct Outputs {
    /// Calls to the store.
    pub store: Sender<ToStore>,
    /// Messages to peers.
    pub peers: Sender<ToPeers>,
    /// Work for targets.
    pub targets: Sender<ToTargets>,
}

/// Everything that the decision thread shares with the rest of the daemon.
#[derive(Debug)]
pub struct HostContext {
    /// Clock that timestamps the events.
    pub clock: Clock,
    /// Open calls and their request bodies.
    pub shared: Arc<SharedState>,
    /// Latest status snapshot.
    pub status: Arc<Status>,
    /// Channels to the other threads.
    pub outputs: Outputs,
    /// Logger for numbered events.
    pub log: Logger,
}

/// Owns the instance and runs its event loop.
#[derive(Debug)]
pub struct Decider {
    instance: Instance,
    host: HostContext,
    recorder: Option<Recorder>,
    timings: Timings,
    /// Events still to be handled, with those that arose while effects were carried out.
    pending_events: Vec<Event>,
    addresses: BTreeMap<InstanceId, String>,
    is_stopped: bool,
    last_status_at: Instant,
}

impl Decider {
    /// Creates the instance and delivers its first tick.
    ///
    /// # Errors
    ///
    /// Returns an error if the trace file cannot be written.
    pub fn try_new(config: &Config, identity: Identity, host: HostContext) -> anyhow::Result<Self> {
        let options = options(config, identity);
        let now = host.clock.now();
        let recorder = match &config.trace_file {
            Some(path) => Some(
                Recorder::try_new(path, &options, now)
                    .with_context(|| format!("cannot write the trace to {}", path.display()))?,
            ),
            None => None,
        };
        let timings = Timings::new(Arc::clone(&host.shared.metrics));
        let mut decider = Self {
            instance: Instance::new(options, now),
            host,
            recorder,
            timings,
            pending_events: Vec::new(),
            addresses: BTreeMap::new(),
            is_stopped: false,
            last_status_at: Instant::now(),
        };
        decider.handle(Event::Tick);
        Ok(decider)
    }

    /// Runs the event loop until the instance has stopped.
    pub fn run(mut self, mut events: Receiver<Event>) {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .build()
        else {
            return;
        };
        while !self.is_stopped {
            let wait = self
                .instance
                .next_wake()
                .saturating_sub(self.host.clock.now());
            let next = runtime.block_on(async {
                tokio::time::timeout(wait.max(Duration::from_micros(200)), events.recv()).await
            });
            match next {
                Ok(Some(event)) => self.handle(event),
                Ok(None) => return,
                Err(_) => self.handle(Event::Tick),
            }
            for _ in 0..MAX_EVENTS_PER_TURN {
                let Ok(event) = events.try_recv() else {
                    break;
                };
                self.handle(event);
            }
            self.update_status();
        }
        self.host.status.update(&self.instance);
    }

    fn update_status(&mut self) {
        if self.last_status_at.elapsed() >= STATUS_INTERVAL {
            self.last_status_at = Instant::now();
            self.host.status.update(&self.instance);
        }
    }

    fn handle(&mut self, event: Event) {
        self.pending_events.push(event);
        while let Some(event) = self.pending_events.pop() {
            let now = self.host.clock.now();
            if let Some(recorder) = &mut self.recorder {
                recorder.record(now, &event);
            }
            let mut effects = Vec::new();
            self.instance.handle(now, event, &mut effects);
            for effect in effects {
                self.apply(effect);
            }
        }
    }

    fn apply(&mut self, effect: Effect) {
        self.timings.observe(&effect);
        match effect {
            Effect::Store { call, request } => self.call_store(ToStore::Call { call, request }),
            Effect::WatchSettings { is_watching } => {
                let have_version = self.instance.settings().version();
                self.call_store(ToStore::Watch {
                    is_watching,
                    have_version,
                });
            }
            Effect::Send { to, message } => self.send_to_peer(&to, message),
            Effect::Dispatch(dispatch) => self.dispatch(dispatch),
            Effect::Cancel { run, .. } => self.send_to_targets(ToTargets::Cancel { run }),
            Effect::Inquire { run, address, .. } => {
                self.send_to_targets(ToTargets::Inquire { run, address });
            }
            Effect::Probe { target, address } => {
                self.send_to_targets(ToTargets::Probe { target, address });
            }
            Effect::Accepted { request, key, .. } => {
                self.host
                    .shared
                    .notify_caller(request, ToCaller::Accepted(key));
            }
            Effect::Reserved { .. } => {}
            Effect::BodyDone { request } => self.host.shared.drop_body(request),
            Effect::Relay { request, data } => {
                self.host
                    .shared
                    .notify_caller(request, ToCaller::Chunk(data));
            }
            Effect::Answer { request, outcome } => {
                self.host
                    .shared
                    .notify_caller(request, ToCaller::Finished(outcome));
            }
            Effect::Explained {
                request,
                explanation,
            } => self
                .host
                .shared
                .notify_caller(request, ToCaller::Explained(explanation)),
            Effect::Log(event) => logs::write(&self.host.log, &event),
            Effect::Stopped => self.is_stopped = true,
        }
    }

    /// Passes a call to the store thread. If its queue is full, the call is reported as lost.
    fn call_store(&mut self, message: ToStore) {
        if let Err(error) = self.host.outputs.store.try_send(message)
            && let ToStore::Call { call, .. } = error.into_inner()
        {
            self.pending_events.push(Event::Store {
                call,
                answer: StoreAnswer::Lost,
            });
        }
    }

    /// Passes a message to the peers thread. If its queue is full, the message is dropped.
    fn send_to_peer(&mut self, to: &InstanceId, message: PeerMessage) {
        let address = self
            .instance
            .membership()
            .all()
            .find(|(state, _)| &state.instance == to)
            .map(|(state, _)| state.address.clone());
        if let Some(address) = address {
            self.addresses.insert(to.clone(), address);
        }
        if let Some(address) = self.addresses.get(to).cloned() {
            let _ = self
                .host
                .outputs
                .peers
                .try_send(ToPeers { address, message });
        }
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        let run = dispatch.run.clone();
        let is_resumed = dispatch.resume_from > 0;
        let message = ToTargets::Dispatch(Box::new(dispatch));
        if self.host.outputs.targets.try_send(message).is_err() {
            // Nothing was sent, so this attempt cannot have started. A resumed run was under way
            // already and counts as broken.
            let report = if is_resumed {
                RunReport::Broken
            } else {
                RunReport::Unreachable
            };
            self.pending_events.push(Event::Run { run, report });
        }
    }

    fn send_to_targets(&mut self, message: ToTargets) {
        // Messages may be dropped: queries are repeated, and a run that is not cancelled ends at
        // its cap.
        let _ = self.host.outputs.targets.try_send(message);
    }
}

fn options(config: &Config, identity: Identity) -> InstanceOptions {
    let mut options = InstanceOptions::new(identity);
    options.address = config
        .advertised_address
        .unwrap_or(config.peers_address)
        .to_string();
    options.seeds = config
        .peer
        .iter()
        .map(|peer| MemberState {
            instance: peer.instance.clone(),
            address: peer.address.to_string(),
            data_centre: peer.data_centre.clone(),
            ..MemberState::default()
        })
        .collect();
    options
}
