//! Event loop of the simulation: delivers messages, store answers, timers and target events to
//! the instances.

mod deliver;
mod scheduled;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use damaskstile::core::peer::MemberState;
use damaskstile::core::prelude::*;
use damaskstile::{Instance, InstanceOptions};

use crate::call_record::CallRecord;
use crate::network::Network;
use crate::options::SimulationOptions;
use crate::oracle::{self, Verdict};
pub use crate::request_spec::RequestSpec;
use crate::store::FakeStore;
use crate::targets::FakeTargets;
use scheduled::Scheduled;

/// Time since the Unix epoch at which every scenario starts.
pub const STARTED_AT: Duration = Duration::from_hours(500_000);

/// Consecutive actions without progress of time after which a scenario is aborted.
const MAX_STEPS_WITHOUT_PROGRESS: u64 = 20_000;

#[derive(Debug)]
pub(crate) struct Node {
    pub instance: Option<Instance>,
    pub data_centre: String,
    pub incarnation: Incarnation,
    pub paused_until: Duration,
    pub wake_at: Duration,
}

#[derive(Debug, Clone)]
pub(crate) enum Action {
    Event(Incarnation, Event),
    Store(Incarnation, CallId, StoreCall),
    Wake(Incarnation),
    Dispatch(Incarnation, Box<Dispatch>),
    Generate(RunId),
}

/// A simulated fleet over fake targets, store and network.
#[derive(Debug)]
pub struct Simulation {
    /// Current virtual time, since the Unix epoch.
    pub now: Duration,
    /// The platform's object store.
    pub store: FakeStore,
    /// The targets.
    pub targets: FakeTargets,
    /// The network between instances and to the store.
    pub network: Network,
    /// Calls made so far and what their callers have received.
    pub calls: BTreeMap<RequestHandle, CallRecord>,
    /// Keys of requests that must not run twice.
    pub non_idempotent: BTreeSet<RequestKey>,
    /// Number of log events by code.
    pub logged: BTreeMap<EventCode, u64>,
    /// Number of messages sent between instances.
    pub messages: u64,
    /// Encoded size of those messages in bytes; counted only if `counts_bytes` is set.
    pub bytes: u64,
    /// Whether messages are encoded to count their bytes.
    pub counts_bytes: bool,
    /// Instances that currently watch the settings in the store.
    pub watchers: BTreeSet<InstanceId>,
    /// Whether hosts check the expiry of a dispatch just before they send it.
    pub hosts_check_expiry: bool,
    /// Instances that reported that they have stopped and were not started again.
    pub stopped: BTreeSet<InstanceId>,
    pub(crate) options: SimulationOptions,
    pub(crate) nodes: BTreeMap<InstanceId, Node>,
    pub(crate) random: Random,
    queue: BinaryHeap<Reverse<Scheduled>>,
    last_sequence: u64,
    next_handle: RequestHandle,
    steps_without_progress: u64,
}

impl Simulation {
    /// Starts a fleet with `budget_tokens` prepaid tokens in the budget `office`.
    #[must_use]
    pub fn new(options: SimulationOptions, budget_tokens: u64) -> Self {
        let mut simulation = Self {
            now: STARTED_AT,
            store: FakeStore::default(),
            targets: FakeTargets::default(),
            network: Network::default(),
            calls: BTreeMap::new(),
            non_idempotent: BTreeSet::new(),
            logged: BTreeMap::new(),
            messages: 0,
            bytes: 0,
            counts_bytes: false,
            watchers: BTreeSet::new(),
            hosts_check_expiry: true,
            stopped: BTreeSet::new(),
            random: Random::new(options.seed),
            nodes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            last_sequence: 0,
            next_handle: 1,
            steps_without_progress: 0,
            options,
        };
        simulation.store.top_up("office", "first", budget_tokens);
        simulation.put_settings(&simulation.options.settings.clone());
        simulation.add_targets();
        for number in 0..simulation.options.instances {
            simulation.add_node(number);
        }
        let names: Vec<InstanceId> = simulation.nodes.keys().cloned().collect();
        for name in names {
            simulation.start(&name);
        }
        simulation
    }

    fn add_targets(&mut self) {
        let (chunk_interval, slots) = (self.options.chunk_interval, self.options.slots_requests);
        for number in 0..self.options.targets {
            self.targets
                .add(&format!("chat-{number}"), "chat", chunk_interval, slots);
        }
        self.targets
            .add("status-0", "status", chunk_interval, slots);
        self.targets
            .add("publish-0", "publish", chunk_interval, slots);
        self.targets
            .add("publish-1", "publish", chunk_interval, slots);
    }

    fn add_node(&mut self, number: usize) {
        let data_centre = format!("dc-{}", number % self.options.data_centres.max(1));
        let node = Node {
            instance: None,
            data_centre,
            incarnation: 0,
            paused_until: Duration::ZERO,
            wake_at: Duration::MAX,
        };
        self.nodes.insert(format!("i{number:03}"), node);
    }

    /// Stores a settings tree and returns its version.
    ///
    /// Watching instances are notified only by [`show_settings`](Self::show_settings).
    pub fn put_settings(&mut self, text: &str) -> Version {
        let stored = serde_json::json!({
            "author": "test", "note": "", "at_unix_ms": 0, "text": text,
        });
        self.store.put("settings/tree", stored.to_string())
    }

    /// Notifies the watching instances of the stored settings after the store's delay.
    pub fn show_settings(&mut self) {
        let Some(object) = self.store.get("settings/tree").cloned() else {
            return;
        };
        for name in self.watchers.clone() {
            let event = Event::Changed {
                key: "settings/tree".to_owned(),
                object: object.clone(),
            };
            let incarnation = self.incarnation(&name);
            let delay = self.options.store_delay;
            self.schedule(delay, &name, Action::Event(incarnation, event));
        }
    }

    /// Starts a stopped instance as a new incarnation.
    pub fn start(&mut self, name: &str) {
        let seeds: Vec<MemberState> = self
            .nodes
            .iter()
            .filter(|(other, _)| other.as_str() != name)
            .map(|(other, node)| MemberState {
                instance: other.clone(),
                data_centre: node.data_centre.clone(),
                address: other.clone(),
                ..MemberState::default()
            })
            .collect();
        let random = self.random.next_u64();
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        node.incarnation = random | 1;
        let identity = Identity::new(name, node.incarnation, &node.data_centre);
        let mut options = InstanceOptions::new(identity);
        options.seeds = seeds;
        options.budgets = self.options.budgets.clone();
        options.registry = self.options.registry.clone();
        node.instance = Some(Instance::new(options, self.now));
        node.wake_at = Duration::MAX;
        self.stopped.remove(name);
        let targets = self
            .targets
            .targets
            .values()
            .map(|target| target.info.clone())
            .collect();
        self.deliver(name, Event::Targets { targets });
    }

    /// Kills an instance. Messages that it has sent are still delivered; all other state is lost.
    pub fn kill(&mut self, name: &str) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.instance = None;
            node.incarnation = 0;
            node.paused_until = Duration::ZERO;
        }
        for run in self.targets.runs.values_mut() {
            if run.listener.as_deref() == Some(name) {
                run.listener = None;
            }
        }
    }

    /// Pauses an instance for a duration: events to it and dispatches by it are delayed until the
    /// end of the pause.
    pub fn pause(&mut self, name: &str, pause: Duration) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.paused_until = self.now + pause;
        }
    }

    /// Asks an instance to stop gracefully.
    pub fn stop(&mut self, name: &str) {
        self.deliver(name, Event::Stop);
    }

    /// Delivers the platform's current list of targets to all instances at once.
    pub fn show_targets(&mut self) {
        let targets: Vec<TargetInfo> = self
            .targets
            .targets
            .values()
            .map(|target| target.info.clone())
            .collect();
        for name in self.names() {
            let targets = targets.clone();
            self.deliver(&name, Event::Targets { targets });
        }
    }

    /// Returns the names of all instances.
    #[must_use]
    pub fn names(&self) -> Vec<InstanceId> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the instances that are running and not paused.
    pub fn live_instances(&self) -> impl Iterator<Item = (&InstanceId, &Instance)> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.paused_until <= self.now)
            .filter_map(|(name, node)| node.instance.as_ref().map(|instance| (name, instance)))
    }

    /// Returns an instance, if it is running.
    #[must_use]
    pub fn instance(&self, name: &str) -> Option<&Instance> {
        self.nodes.get(name)?.instance.as_ref()
    }

    /// Returns the incarnation of an instance; 0 if it is not running.
    #[must_use]
    pub fn incarnation(&self, name: &str) -> Incarnation {
        self.nodes.get(name).map_or(0, |node| node.incarnation)
    }

    /// Returns the number of calls made with a request key.
    #[must_use]
    pub fn call_count(&self, key: &str) -> usize {
        self.calls
            .values()
            .filter(|answered| answered.key == key)
            .count()
    }

    /// Makes a call to an instance and returns its handle.
    pub fn request(&mut self, name: &str, spec: &RequestSpec) -> RequestHandle {
        let handle = self.next_handle;
        self.next_handle += 1;
        let key = if spec.key.is_empty() {
            let random = self.random.next_u64();
            damaskstile::keys::new_request_key(self.now, handle, random)
        } else {
            spec.key.clone()
        };
        if spec.non_idempotent || spec.service == "publish" {
            self.non_idempotent.insert(key.clone());
        }
        let answered = CallRecord {
            instance: name.to_owned(),
            incarnation: self.incarnation(name),
            key: key.clone(),
            worst_tokens: spec.prompt_tokens + spec.cap_tokens,
            output_tokens: spec.output_tokens,
            called_at: self.now,
            ..CallRecord::default()
        };
        self.calls.insert(handle, answered);
        let request = NewRequest {
            request: handle,
            token_sha256: spec.token_sha256.clone(),
            key: Some(key),
            service: spec.service.clone(),
            body_hash: 1,
            prompt_bytes: spec.prompt_tokens,
            max_output_tokens: (spec.cap_tokens > 0).then_some(spec.cap_tokens),
            non_idempotent: spec.non_idempotent,
            is_streamed: spec.is_streamed,
            priority: spec.priority,
            time_limit: None,
        };
        self.deliver(name, Event::Request(request));
        handle
    }

    /// Advances the simulation by a duration.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// Advances the simulation to a time, executing all actions due by then.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(Reverse(due)) = self.queue.peek() {
            if due.at > until {
                break;
            }
            if let Some(Reverse(due)) = self.queue.pop() {
                self.check_progress(&due);
                self.now = self.now.max(due.at);
                self.execute(&due.node, due.action);
            }
        }
        self.now = self.now.max(until);
    }

    /// Aborts a scenario in which time makes no progress, as when an instance keeps setting its
    /// wake-up to the current time.
    fn check_progress(&mut self, due: &Scheduled) {
        self.steps_without_progress = if due.at > self.now {
            0
        } else {
            self.steps_without_progress + 1
        };
        assert!(
            self.steps_without_progress < MAX_STEPS_WITHOUT_PROGRESS,
            "no progress of time at {:?}: {due:?}",
            self.now
        );
    }

    pub(crate) fn schedule(&mut self, after: Duration, node: &str, action: Action) {
        self.last_sequence += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now + after,
            sequence: self.last_sequence,
            node: node.to_owned(),
            action,
        }));
    }

    /// Delivers an event to an instance at once if it is running, or after its pause.
    pub fn deliver(&mut self, name: &str, event: Event) {
        let Some(node) = self.nodes.get_mut(name) else {
            return;
        };
        if node.paused_until > self.now {
            let (wait, incarnation) =
                (node.paused_until.saturating_sub(self.now), node.incarnation);
            self.schedule(wait, name, Action::Event(incarnation, event));
            return;
        }
        let Some(instance) = node.instance.as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        instance.handle(self.now, event, &mut effects);
        let wake_at = instance.next_wake().max(self.now);
        let incarnation = node.incarnation;
        if wake_at < node.wake_at || node.wake_at <= self.now {
            node.wake_at = wake_at;
            let after = wake_at.saturating_sub(self.now);
            self.schedule(after, name, Action::Wake(incarnation));
        }
        for effect in effects {
            self.apply_effect(name, incarnation, effect);
        }
    }

    pub(crate) fn judge(&self, name: &str, handle: RequestHandle) -> Verdict {
        let worst = self.calls[&handle].worst_tokens;
        oracle::judge(self, name, "office", "office", worst)
    }
}
