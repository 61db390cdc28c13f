//! State machine of one router instance: requests, budgets, targets, membership and settings.

mod admit;
mod budgets;
mod claims;
mod dispatch;
mod explain;
mod finish;
mod fleet;
mod orphan;
mod record;
mod request;
mod run;
mod stop;
mod timers;
mod transfers;

use damaskstile_budgets::{BudgetOptions, Holder, PolicyKind, RecordKeeper};
use damaskstile_core::peer::{MemberState, RunRecord};
use damaskstile_core::prelude::*;
use damaskstile_fleet::{Membership, SettingsInForce};
use damaskstile_requests::{ClaimShard, RetryBudget};
use damaskstile_targets::{Queue, Registry};

use crate::options::InstanceOptions;
use explain::PendingExplain;
use orphan::OrphanedRun;
use request::Request;
use timers::Timer;
use transfers::PendingTransfer;

/// Effects of one event, in the order in which the host executes them.
pub type Effects = Vec<Effect>;

/// Purpose of a store call, which decides what receives its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
enum StorePurpose {
    Ledger(BudgetId),
    Page(BudgetId),
    Claims(AccountId, u64),
    Settings,
    Explain(u64),
}

/// Decision logic of one router instance.
///
/// All input goes through [`handle`](Self::handle) and all output is effects. It has no clock, no
/// sockets and no randomness besides its seed: the same options and the same events at the same
/// times give the same effects.
#[derive(Debug)]
pub struct Instance {
    options: InstanceOptions,
    now: Duration,
    is_started: bool,
    random: Random,
    settings: SettingsInForce,
    membership: Membership,
    is_watching: bool,
    registry: Registry,
    queue: Queue,
    holders: BTreeMap<BudgetId, Holder>,
    keeper: RecordKeeper,
    claims: BTreeMap<(AccountId, u64), ClaimShard>,
    retries: RetryBudget,
    requests: BTreeMap<u64, Request>,
    by_key: BTreeMap<(AccountId, RequestKey), u64>,
    by_run: BTreeMap<RunId, u64>,
    by_call: BTreeMap<RequestHandle, u64>,
    open_of_account: BTreeMap<AccountId, u64>,
    /// Numbers of this instance's runs that are not yet accounted for in the store.
    unsettled: BTreeSet<u64>,
    /// Records of this instance's runs that are not yet accounted for in the store.
    records: BTreeMap<RunId, RunRecord>,
    /// Witnesses that have been sent those records.
    record_witnesses: BTreeMap<InstanceId, Incarnation>,
    orphans: BTreeMap<RunId, OrphanedRun>,
    pending_transfers: BTreeMap<GrantId, PendingTransfer>,
    pending_explains: BTreeMap<u64, PendingExplain>,
    store_calls: BTreeMap<CallId, StorePurpose>,
    timers: BTreeSet<(Duration, Timer)>,
    next_number: u64,
    replay_bytes: usize,
    pending_entries: usize,
    stop_at: Option<Duration>,
    is_stopped: bool,
}

impl Instance {
    /// Creates an instance that has no settings, peers or tokens yet; the first event starts it.
    ///
    /// Times are durations since the Unix epoch.
    #[must_use]
    pub fn new(options: InstanceOptions, now: Duration) -> Self {
        let identity = &options.identity;
        let own = MemberState {
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            started_unix_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            heartbeat: 1,
            data_centre: identity.data_centre.clone(),
            address: options.address.clone(),
            ..MemberState::default()
        };
        let mut random = Random::new(options.seed);
        let membership = Membership::new(own, options.membership.clone(), random.next_u64(), now);
        let registry = Registry::new(
            &identity.instance,
            options.registry.clone(),
            random.next_u64(),
        );
        let system = SettingsInForce::new();
        let retries = RetryBudget::new(system.settings().system.retry_percent, now);
        Self {
            options,
            now,
            is_started: false,
            random,
            settings: system,
            membership,
            is_watching: false,
            registry,
            queue: Queue::new(),
            holders: BTreeMap::new(),
            keeper: RecordKeeper::new(),
            claims: BTreeMap::new(),
            retries,
            requests: BTreeMap::new(),
            by_key: BTreeMap::new(),
            by_run: BTreeMap::new(),
            by_call: BTreeMap::new(),
            open_of_account: BTreeMap::new(),
            unsettled: BTreeSet::new(),
            records: BTreeMap::new(),
            record_witnesses: BTreeMap::new(),
            orphans: BTreeMap::new(),
            pending_transfers: BTreeMap::new(),
            pending_explains: BTreeMap::new(),
            store_calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_number: 0,
            replay_bytes: 0,
            pending_entries: 0,
            stop_at: None,
            is_stopped: false,
        }
    }

    /// Handles one event and appends the resulting effects.
    ///
    /// Time never goes backwards: a `now` before the latest one counts as the latest one.
    pub fn handle(&mut self, now: Duration, event: Event, effects: &mut Effects) {
        self.advance(now);
        self.start(effects);
        match event {
            Event::Tick => {}
            Event::Request(request) => self.on_request(&request, effects),
            Event::CallerGone { request } => self.on_caller_gone(request),
            Event::Store { call, answer } => self.on_store(call, answer, effects),
            Event::Changed { key, object } => self.on_changed(&key, &object, effects),
            Event::Run { run, report } => self.on_run(&run, report, effects),
            Event::Targets { targets } => self.on_targets(targets, effects),
            Event::TargetStatus { target, status } => {
                self.on_target_status(&target, status.as_ref(), effects);
            }
            Event::Peer {
                from,
                incarnation,
                message,
            } => self.on_peer(&from, incarnation, message, effects),
            Event::Explain {
                request,
                token_sha256,
                key,
            } => self.on_explain(request, &token_sha256, &key, effects),
            Event::Stop => self.on_stop(effects),
        }
        self.run_timers(effects);
        self.check_stopped(effects);
    }

    /// Returns the time by which the host should deliver the next event, a `Tick` if there is no
    /// other.
    #[must_use]
    pub fn next_wake(&self) -> Duration {
        let round_at = self.membership.next_round_at();
        self.timers
            .first()
            .map_or(round_at, |(at, _)| round_at.min(*at))
    }

    /// Returns whether the load balancer should send new requests to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stop_at.is_none() && !self.settings.is_empty()
    }

    /// Returns the settings in force at this instance.
    #[must_use]
    pub fn settings(&self) -> &SettingsInForce {
        &self.settings
    }

    /// Returns the membership view of this instance.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the number of a budget's tokens that this instance can reserve at once.
    #[must_use]
    pub fn free_tokens(&self, budget: &str) -> u64 {
        self.holders.get(budget).map_or(0, Holder::free_tokens)
    }

    /// Returns the number of a budget's tokens that are reserved for runs of this instance.
    #[must_use]
    pub fn reserved_tokens(&self, budget: &str) -> u64 {
        self.holders.get(budget).map_or(0, Holder::reserved_tokens)
    }

    /// Returns the number of requests without an outcome.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests
            .values()
            .filter(|request| !request.is_done())
            .count()
    }

    /// Returns the number of bills that wait for the store.
    #[must_use]
    pub fn pending_entries(&self) -> usize {
        self.holders.values().map(Holder::pending_entries).sum()
    }

    fn advance(&mut self, now: Duration) {
        if now <= self.now {
            return;
        }
        let gap = now.saturating_sub(self.now);
        self.now = now;
        // A gap of more than two gossip intervals means that this process was paused. It received
        // nothing in that time, so the gap must not count as silence of its peers: otherwise it
        // would seal the grants of all of them on waking.
        let is_pause = self.is_started && gap > self.options.membership.interval * 2;
        if is_pause {
            self.membership.exclude_pause(gap);
        }
    }

    fn start(&mut self, effects: &mut Effects) {
        if self.is_started {
            return;
        }
        self.is_started = true;
        let seeds = std::mem::take(&mut self.options.seeds);
        let gossip = damaskstile_core::peer::Gossip {
            members: seeds,
            targets: Vec::new(),
        };
        self.membership.merge_gossip(self.now, &gossip);
        self.members_changed(effects);
        self.read_settings(effects);
        self.request_settings_from_peers(effects);
    }

    fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn new_run(&mut self) -> RunId {
        let number = self.next_number();
        self.unsettled.insert(number);
        self.options.identity.unique("run", number)
    }

    fn call_store(&mut self, purpose: StorePurpose, request: StoreCall, effects: &mut Effects) {
        let id = self.next_number();
        self.store_calls.insert(id, purpose);
        self.set_timer(self.options.store_timeout, Timer::StoreTimeout(id));
        effects.push(Effect::Store { call: id, request });
    }

    fn on_store(&mut self, id: CallId, answer: StoreAnswer, effects: &mut Effects) {
        // Answers after the time-out and repeated answers are ignored.
        let Some(purpose) = self.store_calls.remove(&id) else {
            return;
        };
        match purpose {
            StorePurpose::Ledger(budget) => {
                self.with_holder(&budget, effects, |holder, now, fx| {
                    holder.on_store(now, answer, fx);
                });
            }
            StorePurpose::Page(budget) => self.with_holder(&budget, effects, |holder, now, _| {
                holder.on_page_stored(now, &answer);
            }),
            StorePurpose::Claims(account, table) => {
                self.with_claims(&account, table, effects, |claims, now, fx| {
                    claims.on_store(now, answer, fx);
                });
            }
            StorePurpose::Settings => self.on_settings_read(answer, effects),
            StorePurpose::Explain(number) => self.on_explain_read(number, answer, effects),
        }
    }

    fn budget_options(&self, account: &str, service: &str) -> BudgetOptions {
        let effective = self.settings.settings().effective(account, service);
        let mut options = self.options.budgets.clone();
        options.instances = self.settings.settings().system.instances;
        options.open_percent = effective.open_percent;
        let policy = PolicyKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == effective.budget_policy);
        options.policy = policy.unwrap_or(options.policy);
        options
    }

    fn log(effects: &mut Effects, code: EventCode, fields: &[(&str, &str)]) {
        effects.push(Effect::Log(LogEvent::new(code, fields)));
    }
}
