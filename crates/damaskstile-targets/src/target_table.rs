//! Table of the listed targets, from which one is selected for each call.

mod advertised_limits;
mod backoff;
mod brittle_state;
mod bulk;
mod bulk_load;
mod bulk_reports;
mod bulk_state;
mod bulk_targets;
mod call_limits;
mod candidates;
mod cold;
mod copy_target;
mod cost;
mod cost_estimate;
mod index;
mod list;
mod location;
mod long_load;
mod prefill_speeds;
mod rejection_limits;
mod reserved_targets;
mod speed_effect;
mod speeds;
mod standing;
mod versions;

use std::cell::Cell;
use std::cmp::Ordering;

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use crate::choice::Choice;
use crate::cold_limit::ColdLimit;
use crate::departures::Departures;
use crate::evacuations::Evacuations;
use crate::fleet_view::FleetView;
use crate::prefill_speed::PrefillSpeed;
use crate::reported_load::ReportedLoad;
use crate::service_speed::ServiceSpeed;
use crate::service_versions::ServiceVersions;
use crate::target_state::TargetState;
use crate::target_table_options::TargetTableOptions;
use crate::work::Work;
use brittle_state::BrittleState;
use bulk_state::BulkState;
use cost_estimate::{CostEstimate, least_passing};
use index::ServiceIndex;
use long_load::LongLoad;
use standing::StandingEntry;

/// Fleet size up to which the reporting threshold for prompts applies as it is. Each report goes to
/// all instances, so the rate at which one instance receives them grows with the fleet: 64
/// instances send each other some twenty a second. In a larger fleet the threshold grows in
/// proportion, and only longer prompts are reported, which are rarer.
const REPORTING_INSTANCES: f64 = 64.0;

/// Table of the listed targets, from which one is selected for each call.
///
/// The selection weighs three things in one unit, the time to the first token: prompt tokens that
/// wait at a target or would need prefill there, calls that run there, and recent failures. Even
/// load alone would repeat the prefill of shared prompt parts at every target; affinity alone would
/// queue the calls of a busy session at one target.
#[derive(Debug)]
pub struct TargetTable {
    options: TargetTableOptions,
    data_centre: String,
    targets: BTreeMap<TargetId, TargetState>,
    /// Targets by service, in the orders in which selections go through them.
    indexes: BTreeMap<ServiceId, ServiceIndex>,
    /// Seed of this instance's own order of targets.
    own_seed: u64,
    /// Number of listed targets that state their starts.
    stated: usize,
    /// Targets that were delisted around an outage, some of which are listed again.
    lapsed: BTreeSet<TargetId>,
    /// Targets that have advertised a limit.
    limited: BTreeSet<TargetId>,
    /// Brittle targets.
    brittle: BrittleState,
    /// Number of candidates that selections have examined.
    candidates_examined: Cell<u64>,
    departures: Departures,
    /// Names whose entries are invalid, with the fault.
    refused: BTreeMap<TargetId, String>,
    /// Last entries of targets that state an earlier start than the newest known one.
    standing: BTreeMap<TargetId, StandingEntry>,
    /// Starts that turned out to be wrong, by target.
    wrong_starts: BTreeMap<TargetId, TargetIncarnation>,
    /// Whether targets state their starts. If so, an entry that does not is from another writer.
    is_start_stated: bool,
    /// Number of instances in the fleet, which are assumed to have about the same load each.
    instances: u64,
    /// Load of long prompts that this instance sent, by service.
    long_loads: BTreeMap<ServiceId, LongLoad>,
    /// Load of bulk prompts, and the targets that take them.
    bulk: BulkState,
    /// Estimated prefill speed of targets, by service.
    speeds: BTreeMap<ServiceId, PrefillSpeed>,
    /// What the targets of each service have in common, against which their speeds are measured.
    service_speeds: BTreeMap<ServiceId, ServiceSpeed>,
    /// Targets whose speed this instance knows something of.
    uneven: BTreeSet<TargetId>,
    speeds_passed_at: Duration,
    /// Evacuated data centres, whose targets receive nothing.
    evacuations: Evacuations,
    /// Call limits of cold targets, by service.
    cold_limits: BTreeMap<ServiceId, ColdLimit>,
    /// Other instances, by which each determines to which targets with a call limit it may send.
    fleet: FleetView,
    /// Incremented when the fleet view or the cold limits change.
    fleet_state: u64,
    /// When this instance started; `None` if that is unknown.
    started_at: Option<Duration>,
    /// Copies of this instance's runs, by the target that holds them.
    copies: BTreeMap<TargetId, u64>,
    /// Versions of the targets' software, by service.
    versions: BTreeMap<ServiceId, ServiceVersions>,
    /// When the whole list was first applied.
    listed_since: Option<Duration>,
    /// Whether targets had no other versions before that, since the fleet had not started yet.
    has_no_earlier_versions: bool,
    /// Targets whose entries changed since the last [`Self::take_touched`].
    touched: BTreeSet<TargetId>,
}

impl TargetTable {
    /// Creates a table without targets.
    #[must_use]
    pub fn new(data_centre: &str, options: TargetTableOptions) -> Self {
        Self {
            options,
            data_centre: data_centre.to_owned(),
            targets: BTreeMap::new(),
            indexes: BTreeMap::new(),
            own_seed: 0,
            stated: 0,
            lapsed: BTreeSet::new(),
            limited: BTreeSet::new(),
            brittle: BrittleState::default(),
            candidates_examined: Cell::new(0),
            departures: Departures::default(),
            refused: BTreeMap::new(),
            standing: BTreeMap::new(),
            wrong_starts: BTreeMap::new(),
            is_start_stated: false,
            instances: 1,
            long_loads: BTreeMap::new(),
            bulk: BulkState::default(),
            speeds: BTreeMap::new(),
            service_speeds: BTreeMap::new(),
            uneven: BTreeSet::new(),
            speeds_passed_at: Duration::ZERO,
            evacuations: Evacuations::default(),
            cold_limits: BTreeMap::new(),
            fleet: FleetView::default(),
            fleet_state: 0,
            started_at: None,
            copies: BTreeMap::new(),
            versions: BTreeMap::new(),
            listed_since: None,
            has_no_earlier_versions: false,
            touched: BTreeSet::new(),
        }
    }

    /// Sets the name of the instance that uses the table, and when it started.
    #[must_use]
    pub fn for_instance(mut self, instance: &str, started_at: Duration) -> Self {
        self.fleet = FleetView::new(instance);
        self.started_at = Some(started_at);
        self.own_seed = stable_hash(&["order", instance]);
        self
    }

    /// Returns the number of candidates that selections have examined.
    ///
    /// ```
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert_eq!(table.candidates_examined(), 0);
    /// ```
    #[must_use]
    pub fn candidates_examined(&self) -> u64 {
        self.candidates_examined.get()
    }

    /// Returns the number of targets of a service that may receive work.
    #[must_use]
    pub fn usable_targets(&self, now: Duration, service: &str) -> usize {
        self.usable(now, service).count()
    }

    /// Selects a target of a service, other than those already tried; `None` if no target may
    /// receive the call.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions, Work};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert_eq!(table.choose(Duration::ZERO, "s", &Work::default(), &[]), None);
    /// ```
    #[must_use]
    pub fn choose(
        &self,
        now: Duration,
        service: &str,
        work: &Work,
        tried: &[TargetId],
    ) -> Option<Choice> {
        let index = self.indexes.get(service)?;
        let context = self.call_context(now, index, service, work);
        let candidates = self.candidates(now, index, &context, tried).into_iter();
        let estimates = candidates.map(|state| self.estimate_cost(now, state, &context));
        let position =
            |estimate: &CostEstimate<'_>| index.own_position(&estimate.state.listed.target);
        let is_less = |one: &CostEstimate<'_>, other: &CostEstimate<'_>| match one
            .cost_ms
            .total_cmp(&other.cost_ms)
        {
            Ordering::Less => true,
            Ordering::Greater => false,
            Ordering::Equal => position(one) < position(other),
        };
        let may_get = |estimate: &CostEstimate<'_>| self.may_get(now, estimate.state, work, tried);
        let least = least_passing(estimates.collect(), is_less, may_get)?;
        Some(least.choice())
    }

    /// Tells whether an incarnation may still receive a call for which it was selected: since then
    /// the target has not begun to leave, been delisted, asked for a backoff or been replaced by
    /// another incarnation, and its call limits, if any apply, are not used up.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert!(!table.may_send(Duration::ZERO, &TargetIdentity::new("unknown", None)));
    /// ```
    #[must_use]
    pub fn may_send(&self, now: Duration, identity: &TargetIdentity) -> bool {
        self.targets.get(&identity.target).is_some_and(|state| {
            state.listed.incarnation == identity.incarnation
                && self.is_usable(now, state)
                && self.has_room(now, state)
        })
    }

    /// Returns the state of the incarnation that a call was sent to; `None` if another one has
    /// replaced it, which the call does not concern.
    fn chosen(&mut self, choice: &Choice) -> Option<&mut TargetState> {
        self.of_incarnation(&choice.target, choice.incarnation)
    }

    fn of_incarnation(
        &mut self,
        target: &str,
        incarnation: Option<TargetIncarnation>,
    ) -> Option<&mut TargetState> {
        let state = self.targets.get_mut(target);
        let state = state.filter(|state| state.listed.incarnation == incarnation)?;
        if let Some(index) = self.indexes.get_mut(&state.listed.service) {
            index.mark(target);
        }
        Some(state)
    }

    /// Sets the number of instances, by which each estimates the load of all from its own.
    pub fn set_instances(&mut self, instances: u64) {
        self.instances = instances;
    }

    /// Records that a call was sent to its target.
    pub fn sent(&mut self, now: Duration, choice: &Choice, work: &Work) {
        self.note_long(now, choice, work);
        self.sweep(now, &choice.target);
        self.note_parts(now, &choice.target, work);
        if let Some(state) = self.chosen(choice) {
            state.sent(now, work, choice.prefill_ms);
        }
    }

    /// Returns the prefill time of a call's prompt at its target if it is long enough to be
    /// reported to peers.
    #[must_use]
    pub fn prefill_to_report(&self, choice: &Choice) -> Option<Duration> {
        let parts =
            f64::from(u32::try_from(self.instances).unwrap_or(u32::MAX)) / REPORTING_INSTANCES;
        let is_worth = choice.prefill_ms >= self.options.tell_ms * parts.max(1.0);
        is_worth.then(|| cost::prefill_time(choice.prefill_ms))
    }

    /// Applies a peer's report that it sent a prompt to a target, where the prefill takes so long.
    pub fn apply_prefill_report(
        &mut self,
        now: Duration,
        identity: &TargetIdentity,
        time: Duration,
    ) {
        self.sweep(now, &identity.target);
        if let Some(state) = self.of_incarnation(&identity.target, identity.incarnation) {
            state.add_reported_prefill(now, time);
        }
    }

    /// Records that the first token arrived, or that the call ended before it.
    pub fn prefilled(&mut self, choice: &Choice) {
        if let Some(state) = self.chosen(choice) {
            state.prefilled(choice.prefill_ms);
        }
    }

    /// Records that a call ended, whatever its outcome.
    pub fn ended(&mut self, choice: &Choice) {
        if let Some(state) = self.chosen(choice) {
            state.ended();
        }
    }

    /// Applies a load report that a target sent with the answer to a call.
    pub fn report(&mut self, now: Duration, choice: &Choice, load: ReportedLoad) {
        if let Some(state) = self.chosen(choice) {
            state.report(now, load);
        }
        self.record_machine(now, choice, load);
    }

    /// Records that a call succeeded at its target.
    pub fn succeeded(&mut self, now: Duration, choice: &Choice) {
        if let Some(state) = self.chosen(choice) {
            state.succeeded(now);
        }
    }

    /// Records that a call failed at its target.
    pub fn failed(&mut self, now: Duration, choice: &Choice) {
        if let Some(state) = self.chosen(choice) {
            state.failed(now);
        }
    }

    /// Records that a target did not answer at all.
    pub fn unanswered(&mut self, now: Duration, choice: &Choice) {
        if let Some(state) = self.chosen(choice) {
            state.unanswered(now);
        }
    }

    fn usable<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = &'a TargetState> {
        self.in_use(now, service)
            .filter(move |state| state.backoff_left(now).is_zero())
    }

    /// Returns the targets of a service that may receive work, now or after a backoff.
    fn in_use<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = &'a TargetState> {
        let index = self.indexes.get(service).into_iter();
        self.states_of(index.flat_map(ServiceIndex::all))
            .filter(move |state| self.is_in_use(now, state))
    }

    fn states_of<'a>(
        &'a self,
        targets: impl Iterator<Item = &'a TargetId>,
    ) -> impl Iterator<Item = &'a TargetState> {
        let states = targets.filter_map(|target| self.targets.get(target));
        states.inspect(|_| {
            self.candidates_examined
                .set(self.candidates_examined.get() + 1);
        })
    }

    fn is_usable(&self, now: Duration, state: &TargetState) -> bool {
        self.is_in_use(now, state) && state.backoff_left(now).is_zero()
    }

    fn is_in_use(&self, now: Duration, state: &TargetState) -> bool {
        let is_listed = state
            .missing_since
            .is_none_or(|since| now.saturating_sub(since) < self.options.lapse_grace);
        state.listed.is_ready
            && is_listed
            && self.is_sound(state)
            && self.is_data_centre_open(state)
            && !self.departures.covers(&state.listed.target)
    }

    fn is_sound(&self, state: &TargetState) -> bool {
        !self.refused.contains_key(&state.listed.target) && !self.is_start_missing(state)
    }
}
