//! Table of the listed targets, from which one is selected for each call.

mod candidates;
mod cold;
mod index;
mod kept;
mod limits;
mod list;
mod long_load;
mod paces;
mod pause;
mod place;
mod speeds;
mod weigh;
mod weighed;

use std::cell::Cell;
use std::cmp::Ordering;

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use crate::book_options::BookOptions;
use crate::choice::Choice;
use crate::cold_limit::ColdLimit;
use crate::departures::Departures;
use crate::emptied::Emptied;
use crate::fleet_view::FleetView;
use crate::known::Known;
use crate::reading_speed::ReadingSpeed;
use crate::work::Work;
use index::ServiceIndex;
use long_load::LongLoad;
use weighed::{Weighed, first_passing};

/// Fleet size up to which the reporting threshold for prompts applies as it is. Each report goes to
/// all instances, so the rate at which one instance receives them grows with the fleet: 64
/// instances send each other some twenty a second. In a larger fleet the threshold grows in
/// proportion, and only longer prompts are reported, which are rarer.
const TOLD_INSTANCES: f64 = 64.0;

/// Table of the listed targets, from which one is selected for each call.
///
/// The selection weighs three things in one unit, the time to the first token: prompt tokens that
/// wait at a target or would need prefill there, calls that run there, and recent failures. Even
/// load alone would repeat the prefill of shared prompt parts at every target; affinity alone would
/// queue the calls of a busy session at one target.
#[derive(Debug)]
pub struct Book {
    options: BookOptions,
    data_centre: String,
    targets: BTreeMap<TargetId, Known>,
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
    /// Number of candidates that selections have examined.
    looks: Cell<u64>,
    departures: Departures,
    /// Names whose entries are invalid, with the fault.
    refused: BTreeMap<TargetId, String>,
    /// Whether targets state their starts. If so, an entry that does not is from another writer.
    is_start_stated: bool,
    /// Number of instances in the fleet, which are assumed to have about the same load each.
    instances: u64,
    /// Load of long prompts that this instance sent, by service.
    long_loads: BTreeMap<ServiceId, LongLoad>,
    /// Estimated prefill speed of targets, by service.
    speeds: BTreeMap<ServiceId, ReadingSpeed>,
    /// Evacuated data centres, whose targets receive nothing.
    emptied: Emptied,
    /// Call limits of cold targets, by service.
    cold_limits: BTreeMap<ServiceId, ColdLimit>,
    /// Other instances, by which each determines to which targets with a call limit it may send.
    fleet: FleetView,
    /// Incremented when the fleet view or the cold limits change.
    fleet_state: u64,
    /// When this instance started; `None` if that is unknown.
    started_at: Option<Duration>,
    /// Targets whose entries changed since the last [`Self::take_touched`].
    touched: BTreeSet<TargetId>,
}

impl Book {
    /// Creates a table without targets.
    #[must_use]
    pub fn new(data_centre: &str, options: BookOptions) -> Self {
        Self {
            options,
            data_centre: data_centre.to_owned(),
            targets: BTreeMap::new(),
            indexes: BTreeMap::new(),
            own_seed: 0,
            stated: 0,
            lapsed: BTreeSet::new(),
            limited: BTreeSet::new(),
            looks: Cell::new(0),
            departures: Departures::default(),
            refused: BTreeMap::new(),
            is_start_stated: false,
            instances: 1,
            long_loads: BTreeMap::new(),
            speeds: BTreeMap::new(),
            emptied: Emptied::default(),
            cold_limits: BTreeMap::new(),
            fleet: FleetView::default(),
            fleet_state: 0,
            started_at: None,
            touched: BTreeSet::new(),
        }
    }

    /// Sets the name of the instance that uses the table, and when it started.
    #[must_use]
    pub fn of_instance(mut self, instance: &str, started_at: Duration) -> Self {
        self.fleet = FleetView::new(instance);
        self.started_at = Some(started_at);
        self.own_seed = stable_hash(&["order", instance]);
        self
    }

    /// Returns the number of candidates that selections have examined.
    ///
    /// ```
    /// use damaskstile_targets::{Book, BookOptions};
    /// assert_eq!(Book::new("north", BookOptions::default()).looks(), 0);
    /// ```
    #[must_use]
    pub fn looks(&self) -> u64 {
        self.looks.get()
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
    /// use damaskstile_targets::{Book, BookOptions, Work};
    /// let book = Book::new("north", BookOptions::default());
    /// assert_eq!(book.choose(Duration::ZERO, "s", &Work::default(), &[]), None);
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
        let outlook = self.outlook(now, index, service, work);
        let candidates = self.candidates(now, index, &outlook, tried).into_iter();
        let weighed = candidates.map(|known| self.weigh(now, known, &outlook));
        let place = |weighed: &Weighed<'_>| index.own_place(&weighed.known.listed.target);
        let is_less =
            |one: &Weighed<'_>, other: &Weighed<'_>| match one.cost_ms.total_cmp(&other.cost_ms) {
                Ordering::Less => true,
                Ordering::Greater => false,
                Ordering::Equal => place(one) < place(other),
            };
        let may_get = |weighed: &Weighed<'_>| self.may_get(now, weighed.known, work, tried);
        let first = first_passing(weighed.collect(), is_less, may_get)?;
        Some(first.choice())
    }

    /// Tells whether an incarnation may still receive a call for which it was selected: since then
    /// the target has not begun to leave, been delisted, asked for a backoff or been replaced by
    /// another incarnation, and its call limits, if any apply, are not used up.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_targets::{Book, BookOptions};
    /// let book = Book::new("north", BookOptions::default());
    /// assert!(!book.may_send(Duration::ZERO, &TargetIdentity::new("unknown", None)));
    /// ```
    #[must_use]
    pub fn may_send(&self, now: Duration, identity: &TargetIdentity) -> bool {
        self.targets.get(&identity.target).is_some_and(|known| {
            known.listed.incarnation == identity.incarnation
                && self.is_usable(now, known)
                && self.has_place(now, known)
        })
    }

    /// Returns the state of the incarnation that a call was sent to; `None` if another one has
    /// replaced it, which the call does not concern.
    fn chosen(&mut self, choice: &Choice) -> Option<&mut Known> {
        self.of_incarnation(&choice.target, choice.incarnation)
    }

    fn of_incarnation(
        &mut self,
        target: &str,
        incarnation: Option<TargetIncarnation>,
    ) -> Option<&mut Known> {
        let known = self.targets.get_mut(target);
        let known = known.filter(|known| known.listed.incarnation == incarnation)?;
        if let Some(index) = self.indexes.get_mut(&known.listed.service) {
            index.mark(target);
        }
        Some(known)
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
        if let Some(known) = self.chosen(choice) {
            known.sent(now, work, choice.read_ms);
        }
    }

    /// Returns the prefill time of a call's prompt at its target if it is long enough to be
    /// reported to peers.
    #[must_use]
    pub fn reading_to_tell(&self, choice: &Choice) -> Option<Duration> {
        let parts = f64::from(u32::try_from(self.instances).unwrap_or(u32::MAX)) / TOLD_INSTANCES;
        let is_worth = choice.read_ms >= self.options.tell_ms * parts.max(1.0);
        is_worth.then(|| Duration::from_secs_f64(choice.read_ms / 1_000.0))
    }

    /// Applies a peer's report that it sent a prompt to a target, where the prefill takes so long.
    pub fn hear_reading(&mut self, now: Duration, identity: &TargetIdentity, time: Duration) {
        self.sweep(now, &identity.target);
        if let Some(known) = self.of_incarnation(&identity.target, identity.incarnation) {
            known.hear_reading(now, time);
        }
    }

    /// Records that the first token arrived, or that the call ended before it.
    pub fn prefilled(&mut self, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.prefilled(choice.read_ms);
        }
    }

    /// Records that a call ended, whatever its outcome.
    pub fn ended(&mut self, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.ended();
        }
    }

    /// Applies a load report that a target sent with the answer to a call.
    pub fn report(&mut self, now: Duration, choice: &Choice, running: u64, waiting: u64) {
        if let Some(known) = self.chosen(choice) {
            known.report(now, running, waiting);
        }
    }

    /// Records that a call succeeded at its target.
    pub fn succeeded(&mut self, now: Duration, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.succeeded(now);
        }
    }

    /// Records that a call failed at its target.
    pub fn failed(&mut self, now: Duration, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.failed(now);
        }
    }

    /// Records that a target did not answer at all.
    pub fn silent(&mut self, now: Duration, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.silent(now);
        }
    }

    fn usable<'a>(&'a self, now: Duration, service: &'a str) -> impl Iterator<Item = &'a Known> {
        self.in_use(now, service)
            .filter(move |known| known.paused_for(now).is_zero())
    }

    /// Returns the targets of a service that may receive work, now or after a backoff.
    fn in_use<'a>(&'a self, now: Duration, service: &'a str) -> impl Iterator<Item = &'a Known> {
        let index = self.indexes.get(service).into_iter();
        self.known_of(index.flat_map(ServiceIndex::all))
            .filter(move |known| self.is_in_use(now, known))
    }

    fn known_of<'a>(
        &'a self,
        targets: impl Iterator<Item = &'a TargetId>,
    ) -> impl Iterator<Item = &'a Known> {
        let known = targets.filter_map(|target| self.targets.get(target));
        known.inspect(|_| self.looks.set(self.looks.get() + 1))
    }

    fn is_usable(&self, now: Duration, known: &Known) -> bool {
        self.is_in_use(now, known) && known.paused_for(now).is_zero()
    }

    fn is_in_use(&self, now: Duration, known: &Known) -> bool {
        let is_listed = known
            .missing_since
            .is_none_or(|since| now.saturating_sub(since) < self.options.lapse_grace);
        known.listed.is_ready
            && is_listed
            && self.is_sound(known)
            && self.is_place_open(known)
            && !self.departures.covers(&known.listed.target)
    }

    fn is_sound(&self, known: &Known) -> bool {
        !self.refused.contains_key(&known.listed.target) && !self.is_start_missing(known)
    }
}
