//! `book` knows the listed targets and chooses one for a call.

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

/// Instances up to which all prompts are told that are worth it. Each is told to all, so what one
/// instance hears grows with the fleet: 64 instances tell each other some twenty a second. In a
/// larger fleet only longer prompts are told, which are rarer.
const TOLD_INSTANCES: f64 = 64.0;

/// `Book` knows the listed targets and chooses one for a call.
///
/// The choice weighs three things in one unit, the time to the first token: prompt tokens that
/// wait there or would have to be read anew, calls that run there, and failures seen lately.
/// Evenness alone reads shared parts of prompts anew at every target; affinity alone queues the
/// calls of a busy session at one.
#[derive(Debug)]
pub struct Book {
    options: BookOptions,
    data_centre: String,
    targets: BTreeMap<TargetId, Known>,
    /// The same by service, in the orders in which choices look at them.
    indexes: BTreeMap<ServiceId, ServiceIndex>,
    /// Where this instance begins in its own order of targets.
    own_seed: u64,
    /// Listed targets that state their starts.
    stated: usize,
    /// Targets that the list stopped showing around an outage, some of which it shows again.
    lapsed: BTreeSet<TargetId>,
    /// Targets that named a limit.
    limited: BTreeSet<TargetId>,
    /// Targets that choices have looked at.
    looks: Cell<u64>,
    departures: Departures,
    /// Entries that name no target to use, with what is wrong with them.
    refused: BTreeMap<TargetId, String>,
    /// Whether targets state their starts. An entry that does not is another writer's then.
    is_start_stated: bool,
    /// Instances of the fleet, each with about as much load.
    instances: u64,
    /// Long prompts that this instance sent, by service.
    long_loads: BTreeMap<ServiceId, LongLoad>,
    /// How fast targets read, by service.
    speeds: BTreeMap<ServiceId, ReadingSpeed>,
    /// Data centres whose targets get nothing.
    emptied: Emptied,
    /// What cold targets bear, by service.
    cold_limits: BTreeMap<ServiceId, ColdLimit>,
    /// The other instances, by which each knows to which cold targets it may send.
    fleet: FleetView,
    /// Counts the changes of that view and of the limits.
    fleet_state: u64,
    /// When the instance started, where that is known.
    started_at: Option<Duration>,
    /// Targets whose entries changed since that was last asked for.
    touched: BTreeSet<TargetId>,
}

impl Book {
    /// Makes a book without targets.
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

    /// Makes the book of an instance that started at a time.
    #[must_use]
    pub fn of_instance(mut self, instance: &str, started_at: Duration) -> Self {
        self.fleet = FleetView::new(instance);
        self.started_at = Some(started_at);
        self.own_seed = stable_hash(&["order", instance]);
        self
    }

    /// Returns how often choices have looked at a target.
    ///
    /// ```
    /// use damaskstile_targets::{Book, BookOptions};
    /// assert_eq!(Book::new("north", BookOptions::default()).looks(), 0);
    /// ```
    #[must_use]
    pub fn looks(&self) -> u64 {
        self.looks.get()
    }

    /// Returns the number of targets of a service that may get work.
    #[must_use]
    pub fn usable_targets(&self, now: Duration, service: &str) -> usize {
        self.usable(now, service).count()
    }

    /// Chooses a target of a service, other than those already tried.
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

    /// Tells whether an incarnation may still get the call that was chosen for it: nothing that came
    /// since shows that it leaves, is gone, wants a pause or has been followed by another, and it is
    /// not cold with all that it bears.
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

    /// Returns what is known of the incarnation that a call was sent to; `None` where another has
    /// taken its place, of which the call says nothing.
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

    /// Sets how many instances there are, by which each knows the load of all from its own.
    pub fn set_instances(&mut self, instances: u64) {
        self.instances = instances;
    }

    /// Notes that a call was sent to its choice.
    pub fn sent(&mut self, now: Duration, choice: &Choice, work: &Work) {
        self.note_long(now, choice, work);
        self.sweep(now, &choice.target);
        self.note_parts(now, &choice.target, work);
        if let Some(known) = self.chosen(choice) {
            known.sent(now, work, choice.read_ms);
        }
    }

    /// Returns how long the prompt of a call takes to read at its target, if that is worth telling
    /// the peers.
    #[must_use]
    pub fn reading_to_tell(&self, choice: &Choice) -> Option<Duration> {
        let parts = f64::from(u32::try_from(self.instances).unwrap_or(u32::MAX)) / TOLD_INSTANCES;
        let is_worth = choice.read_ms >= self.options.tell_ms * parts.max(1.0);
        is_worth.then(|| Duration::from_secs_f64(choice.read_ms / 1_000.0))
    }

    /// Takes in that a peer sent a prompt to a target that takes so long to read there.
    pub fn hear_reading(&mut self, now: Duration, identity: &TargetIdentity, time: Duration) {
        self.sweep(now, &identity.target);
        if let Some(known) = self.of_incarnation(&identity.target, identity.incarnation) {
            known.hear_reading(now, time);
        }
    }

    /// Notes that the first token came, or that the call ended before it.
    pub fn prefilled(&mut self, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.prefilled(choice.read_ms);
        }
    }

    /// Notes that a call ended, in whatever way.
    pub fn ended(&mut self, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.ended();
        }
    }

    /// Takes in a target's report of its load, which came with the answer to a call.
    pub fn report(&mut self, now: Duration, choice: &Choice, running: u64, waiting: u64) {
        if let Some(known) = self.chosen(choice) {
            known.report(now, running, waiting);
        }
    }

    /// Notes that a call succeeded at its target.
    pub fn succeeded(&mut self, now: Duration, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.succeeded(now);
        }
    }

    /// Notes that a target failed a call.
    pub fn failed(&mut self, now: Duration, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.failed(now);
        }
    }

    /// Notes that a target did not answer at all.
    pub fn silent(&mut self, now: Duration, choice: &Choice) {
        if let Some(known) = self.chosen(choice) {
            known.silent(now);
        }
    }

    fn usable<'a>(&'a self, now: Duration, service: &'a str) -> impl Iterator<Item = &'a Known> {
        self.in_use(now, service)
            .filter(move |known| known.paused_for(now).is_zero())
    }

    /// Returns the targets of a service that may get work, now or after a pause.
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
