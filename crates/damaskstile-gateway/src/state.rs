//! `state` holds all that one instance decides by.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;
use damaskstile_escrow::{Holder, Stamp};
use damaskstile_fleet::FleetClock;
use damaskstile_requests::RetryBudget;
use damaskstile_routes::{Account, Catalogue, CatalogueInForce, Route};
use damaskstile_targets::{Book, Listed, Refused};

use crate::call::CallHead;
use crate::call_times::CallTimes;
use crate::clock::BootTime;
use crate::contact::Contact;
use crate::follow::Followed;
use crate::ledger_fault::LedgerFault;
use crate::member::Member;
use crate::objects::StoredObject;
use crate::options::GatewayOptions;
use crate::peers::Pulled;
use crate::pressure::Pressure;
use crate::target_words::TargetWords;

/// Retries are allowed as a part of this many seconds' requests.
const RETRY_SPAN: Duration = Duration::from_secs(10);

/// Age past which a peer's digest says nothing of what it has.
const MEMBER_AGE_MAX: Duration = Duration::from_millis(1_500);

/// Instances of a large fleet that watch the store and tell all others: one writes, and two more
/// are there should it fail.
const STEWARDS_MAX: usize = 3;

/// Age past which what a peer says of the store is no longer taken for news: three digests and a
/// call to the store.
const TOLD_AGE_MAX: Duration = Duration::from_millis(1_800);

/// `Terms` are what the catalogue in force says of a call.
#[derive(Debug, Clone)]
pub struct Terms {
    /// The catalogue that said so.
    pub catalogue: Arc<Catalogue>,
    /// Time since it came into force here.
    pub catalogue_age: Duration,
    /// The route.
    pub route: Arc<Route>,
    /// The service chosen among the route's shares.
    pub service: ServiceId,
    /// Client account; `None` on routes that need none.
    pub account: Option<AccountId>,
    /// Rank of the call.
    pub priority: u8,
}

/// `State` holds all that one instance decides by.
#[derive(Debug)]
pub struct State {
    /// Routes, services and client accounts.
    pub catalogue: CatalogueInForce,
    /// Targets.
    pub book: Book,
    /// This instance's part of the budgets.
    pub holder: Holder,
    /// When the store last answered, by duty.
    pub contact: Contact,
    /// When a list or a watch of each kind was last answered.
    pub followed_at: BTreeMap<Followed, Duration>,
    /// The catalogue in force as stored, for peers.
    pub stored_catalogue: Option<StoredObject>,
    /// What is wrong with the catalogue that was refused last, until a sound one comes.
    pub catalogue_fault: Option<String>,
    /// What is wrong with the ledger as stored, while it cannot be used.
    pub ledger_fault: Option<LedgerFault>,
    /// Version of the list of targets.
    pub targets_version: Version,
    /// At which versions targets were gone.
    pub target_words: TargetWords,
    /// The other instances, from their digests.
    pub members: BTreeMap<InstanceId, Member>,
    /// The fleet's time.
    pub fleet_clock: FleetClock,
    /// Whether a catalogue, or a list of targets, is being pulled from a peer.
    pub pulling: BTreeSet<Pulled>,
    /// Tokens that calls here lack, by account.
    pub wanted_tokens: BTreeMap<AccountId, u64>,
    /// Gifts of tokens that were made.
    pub gifts_made: u64,
    /// Gifts of tokens that were taken, by giver and its incarnation.
    pub gifts_taken: BTreeMap<(InstanceId, Incarnation), BTreeSet<u64>>,
    /// The peer that writes for this instance, as last found.
    pub writer_known: Option<InstanceId>,
    /// How long calls lasted, by route.
    pub call_times: CallTimes,
    /// How full the link is.
    pub pressure: Pressure,
    /// Source of choices.
    pub random: Random,
    /// Whether a stop has begun.
    pub is_stopping: bool,
    instance: InstanceId,
    capacity_percent: u64,
    small_fleet: u64,
    retries: BTreeMap<ServiceId, RetryBudget>,
    retry_percent: u64,
    extra_retries: u64,
}

impl State {
    /// Makes the state of an instance that knows nothing yet.
    #[must_use]
    pub fn new(options: &GatewayOptions) -> Self {
        let identity = options.identity.clone();
        let address = options.peers_address.to_string();
        Self {
            catalogue: CatalogueInForce::default(),
            book: Book::new(&identity.data_centre, options.book.clone()),
            random: Random::new(identity.incarnation),
            instance: identity.instance.clone(),
            capacity_percent: options.capacity_percent,
            small_fleet: u64::from(options.escrow.small_fleet),
            holder: Holder::new(identity, &address, options.escrow.clone()),
            contact: Contact::default(),
            followed_at: BTreeMap::new(),
            stored_catalogue: None,
            catalogue_fault: None,
            ledger_fault: None,
            targets_version: 0,
            target_words: TargetWords::default(),
            members: BTreeMap::new(),
            fleet_clock: FleetClock::default(),
            pulling: BTreeSet::new(),
            wanted_tokens: BTreeMap::new(),
            gifts_made: 0,
            gifts_taken: BTreeMap::new(),
            writer_known: None,
            call_times: CallTimes::default(),
            pressure: Pressure::new(options.link_bytes_per_s),
            is_stopping: false,
            retries: BTreeMap::new(),
            retry_percent: options.retry_percent,
            extra_retries: options.extra_retries_per_s * RETRY_SPAN.as_secs(),
        }
    }

    /// Finds out what holds for a call.
    ///
    /// # Errors
    ///
    /// Returns why the call is refused.
    pub fn terms(
        &mut self,
        now: Duration,
        host: &str,
        path: &str,
        head: &CallHead,
    ) -> Result<Terms, RefusalCode> {
        let Some(catalogue) = self.catalogue.get().cloned() else {
            return Err(RefusalCode::Starting);
        };
        let route = catalogue
            .route(host, path)
            .ok_or(RefusalCode::UnknownRoute)?
            .clone();
        let account = account_of(&catalogue, &route, head)?;
        let draw = self.random.next_u64();
        let service = route.service(draw).ok_or(RefusalCode::UnknownService)?;
        let priority = account
            .and_then(|account| account.priority)
            .unwrap_or(route.priority);
        let terms = Terms {
            catalogue_age: self.catalogue.age(now),
            service: service.to_owned(),
            account: account.map(|account| account.name.clone()),
            priority,
            route: Arc::clone(&route),
            catalogue: Arc::clone(&catalogue),
        };
        self.retry_budget(now, &terms.service).add_request();
        Ok(terms)
    }

    /// Takes in the whole list of targets as it was at a version, unless a newer one is known: one
    /// that was asked for before may come late, over a full link. Returns the refused entries that
    /// are news.
    pub fn take_list(
        &mut self,
        now: Duration,
        version: Version,
        all: Vec<Result<Listed, Refused>>,
        is_around_outage: bool,
    ) -> Vec<Refused> {
        if version < self.targets_version {
            return Vec::new();
        }
        let all = self.target_words.take_list(version, all);
        self.targets_version = version;
        self.book.list_all(now, all, is_around_outage)
    }

    /// Takes in a peer's word that a target was gone at a version; returns whether it is news. It
    /// is none where the own list, as new as that, names the target: it has come back since.
    pub fn take_vanished(
        &mut self,
        now: Duration,
        identity: &TargetIdentity,
        version: Version,
    ) -> bool {
        if version <= self.targets_version && self.book.is_named(&identity.target) {
            return false;
        }
        self.target_words.note_gone(&identity.target, version);
        self.book.vanish(now, identity)
    }

    /// Returns the targets that lately vanished from the list, to tell peers, with the versions at
    /// which they were gone.
    #[must_use]
    pub fn vanished(&self, now: Duration) -> Vec<(TargetIdentity, Version)> {
        let with_version = |identity: TargetIdentity| {
            let told = self.target_words.gone_at(&identity.target);
            // What the own list does not name is gone at its version.
            let own = if self.book.is_named(&identity.target) {
                0
            } else {
                self.targets_version
            };
            (identity, told.max(own))
        };
        let vanished = self.book.vanished(now).into_iter();
        vanished.map(with_version).collect()
    }

    /// Makes a stamp for what is written to the store.
    #[must_use]
    pub fn stamp(&self, now: Duration, boot: BootTime, own_unix_ms: u64) -> Stamp {
        let instances = usize::try_from(self.holder.instances()).unwrap_or(usize::MAX);
        let middle = self.fleet_clock.middle(now, own_unix_ms, instances);
        Stamp {
            boot_name: boot.name,
            boot_ms: boot.ms,
            unix_ms: own_unix_ms,
            fleet_early_ms: middle.map(|(early, _)| early),
            fleet_late_ms: middle.map(|(_, late)| late),
        }
    }

    /// Returns the address of the peer that said last that it has most tokens of an account, if
    /// that is twice what is needed.
    #[must_use]
    pub fn richest_member(&self, now: Duration, account: &str, tokens: u64) -> Option<SocketAddr> {
        self.members
            .values()
            .filter(|member| now.saturating_sub(member.heard_at) < MEMBER_AGE_MAX)
            .filter_map(|member| Some((member.free_tokens.get(account)?, member.address)))
            .filter(|(free, _)| **free / 2 >= tokens)
            .max()
            .map(|(_, address)| address)
    }

    /// Tells whether the fleet is so large that some instances watch and write for the others.
    #[must_use]
    pub fn is_large_fleet(&self) -> bool {
        // At the first start an instance knows only some peers, and those know the others.
        let told = self.members.values().map(|member| member.known_instances);
        let known = told.chain([self.known_instances()]).max();
        known.is_some_and(|known| known > self.small_fleet)
    }

    /// Returns the number of instances that this one knows of, itself among them.
    #[must_use]
    pub fn known_instances(&self) -> u64 {
        let heard = u64::try_from(self.members.len()).unwrap_or(u64::MAX);
        heard.saturating_add(1).max(self.holder.instances())
    }

    /// Tells whether this instance watches the store for others: all of a small fleet do, and of
    /// a large one those to which few better ones are in touch with the store.
    #[must_use]
    pub fn is_steward(&self, now: Duration) -> bool {
        !self.is_large_fleet() || self.better_members(now).count() < STEWARDS_MAX
    }

    /// Tells whether this instance's news go to all peers: in a small fleet, and from an instance
    /// that watches the store for others and is in touch with it. While a whole fleet is cut off
    /// from the store nobody outranks anybody; if all told all, digests would fill narrow links,
    /// and what matters would be lost among them.
    #[must_use]
    pub fn must_tell_all(&self, now: Duration) -> bool {
        let is_in_touch = self.contact.age(now).is_some_and(|age| age < TOLD_AGE_MAX);
        !self.is_large_fleet() || (is_in_touch && self.is_steward(now))
    }

    /// Returns the peer that writes to the ledger for this instance; `None` where it writes
    /// itself.
    #[must_use]
    pub fn writer(&self, now: Duration) -> Option<(&InstanceId, SocketAddr)> {
        if !self.is_large_fleet() {
            return None;
        }
        self.better_members(now)
            .min_by_key(|(name, member)| rank(name, member.capacity_percent))
            .map(|(name, member)| (name, member.address))
    }

    /// Returns the peers that are in touch with the store and better suited to write than this
    /// instance.
    fn better_members(&self, now: Duration) -> impl Iterator<Item = (&InstanceId, &Member)> {
        let own_rank = rank(&self.instance, self.capacity_percent);
        let is_own_lost = self.contact.age(now).is_none_or(|age| age > TOLD_AGE_MAX);
        self.members
            .iter()
            .filter(move |(_, member)| {
                let age = now.saturating_sub(member.heard_at) + member.store_age;
                age < TOLD_AGE_MAX && !member.is_stopping
            })
            .filter(move |(name, member)| {
                is_own_lost || self.is_stopping || rank(name, member.capacity_percent) < own_rank
            })
    }

    /// Tells whether this instance must watch the store itself: it does so for others, or it has
    /// not heard lately from a peer that does and that the store answers.
    #[must_use]
    pub fn must_watch(&self, now: Duration) -> bool {
        let is_told = self.members.values().any(|member| {
            member.is_steward
                && now.saturating_sub(member.heard_at) + member.store_age < TOLD_AGE_MAX
        });
        !is_told || self.is_steward(now)
    }

    /// Takes one retry from the instance's part of the fleet's budget.
    pub fn try_retry(&mut self, now: Duration, service: &str) -> bool {
        self.retry_budget(now, service).try_retry(now)
    }

    fn retry_budget(&mut self, now: Duration, service: &str) -> &mut RetryBudget {
        let instances = self.holder.instances();
        let (percent, extra) = (self.retry_percent, self.extra_retries);
        self.retries
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::of_fleet(percent, extra, RETRY_SPAN, instances, now))
    }
}

/// Returns the rank of an instance among those that may write for others; the least is the best.
/// Instances with more processor time come first, since one of them carries the writes of all.
fn rank(instance: &str, capacity_percent: u64) -> (Reverse<u64>, u64) {
    (
        Reverse(capacity_percent),
        stable_hash(&["writer", instance]),
    )
}

fn account_of<'a>(
    catalogue: &'a Catalogue,
    route: &Route,
    head: &CallHead,
) -> Result<Option<&'a Account>, RefusalCode> {
    let account = head
        .key
        .as_deref()
        .and_then(|key| catalogue.account_of_key(key));
    if account.is_none() && catalogue.has_accounts() && !route.is_anonymous {
        return Err(RefusalCode::UnknownAccount);
    }
    Ok(account)
}
