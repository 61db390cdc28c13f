//! State that the decisions of one instance are based on.

mod accounts;
mod collectors;
mod lenders;
mod paths;
mod retention;
mod roles;
mod rotation;
mod sources;
mod streams;
mod targets;
mod terms;

use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_core::random::Random;
use damaskstile_escrow::{Holder, Stamp};
use damaskstile_fleet::FleetClock;
use damaskstile_loans::{Borrower, Candidate, Lender};
use damaskstile_requests::{OriginLookup, RetryBudget, StreamOrigins, Suspects};
use damaskstile_routes::{Account, Catalogue, CatalogueInForce, Route};
use damaskstile_targets::{ListChanges, Reach, TargetTable, Work};

use crate::call::CallHead;
use crate::call_times::CallTimes;
use crate::clock::BootTime;
use crate::connection_shedding::ConnectionShedding;
use crate::contact::Contact;
use crate::content_changes::ContentChanges;
use crate::delisted_targets::DelistedTargets;
use crate::follow::Followed;
use crate::ledger_fault::LedgerFault;
use crate::load_sharing::LoadSharing;
use crate::member::Member;
use crate::objects::StoredObject;
use crate::options::GatewayOptions;
use crate::pressure::Pressure;
use crate::prompt_queues::PromptQueues;
use crate::run_copies::RunCopies;
use crate::wanted::PullKind;

use lenders::Lenders;
pub use lenders::LendersToAsk;
pub use targets::ReportedChanges;
pub use terms::Terms;

/// Window over which requests are counted for the retry budget, which is a share of them.
const RETRY_SPAN: Duration = Duration::from_secs(10);

/// Most peers that are asked for the missing tokens of one call: enough for a long call when each
/// peer holds tokens for a few short ones, at two messages per peer.
const TOKEN_SENDERS_MAX: usize = 6;

/// Age past which a peer's digest no longer shows its free tokens.
const MEMBER_AGE_MAX: Duration = Duration::from_millis(1_500);

/// `State` holds everything that the decisions of one instance are based on.
#[derive(Debug)]
pub struct State {
    /// Routes, services and client accounts.
    pub catalogue: CatalogueInForce,
    /// The target table.
    pub target_table: TargetTable,
    /// Which targets this instance does not reach itself.
    pub reach: Reach,
    /// This instance's share of the budgets.
    pub holder: Holder,
    /// Loans of this instance's tokens to peers.
    pub lender: Lender,
    /// Loans of peers' tokens to this instance.
    pub borrower: Borrower,
    /// When the store last answered and whether it is lost.
    pub contact: Contact,
    /// When a list or a watch of each kind was last answered.
    pub followed_at: BTreeMap<Followed, Duration>,
    /// The catalogue in force as stored, to serve pulls of peers.
    pub stored_catalogue: Option<StoredObject>,
    /// Differences between the latest versions of the stored catalogue.
    pub catalogue_changes: ContentChanges,
    /// Fault of the last refused catalogue, until a valid one arrives.
    pub catalogue_fault: Option<String>,
    /// Store history in which evacuated data centres were last listed, and the time of the first
    /// listing after the store was restored from an older copy.
    pub evacuated_listed: Option<(History, Option<Duration>)>,
    /// Last fault of an entry that names no data centre.
    pub evacuated_fault: Option<String>,
    /// Fault of the stored ledger while it is unusable.
    pub ledger_fault: Option<LedgerFault>,
    /// History that the store was last seen in.
    pub store_history: Option<History>,
    /// Version of the list of targets.
    pub targets_version: Version,
    /// List versions at which targets were gone.
    pub delisted_targets: DelistedTargets,
    /// List versions at which entries changed.
    pub list_changes: ListChanges,
    /// Whether the next pull requests the whole list because this instance's list differs from a
    /// peer's.
    pub wants_whole_list: bool,
    /// When the list was last compared with a peer's by hash.
    pub compared_at: Option<Duration>,
    /// The other instances, as known from their digests and from reports of peers.
    pub members: BTreeMap<InstanceId, Member>,
    /// The fleet clock.
    pub fleet_clock: FleetClock,
    /// Kinds of data that are being pulled from a peer.
    pub pulling: BTreeSet<PullKind>,
    /// Tokens that calls at this instance lack, by account.
    pub wanted_tokens: BTreeMap<AccountId, u64>,
    /// Number of token transfers made.
    pub transfers_made: u64,
    /// Numbers of the accepted token transfers, by sender and its incarnation.
    pub transfers_accepted: BTreeMap<(InstanceId, Incarnation), BTreeSet<u64>>,
    /// The peer that writes for this instance, as last determined.
    pub known_writer: Option<InstanceId>,
    /// Contents that are suspected of ending targets.
    pub suspects: Suspects,
    /// Where streams began.
    pub stream_origins: StreamOrigins,
    /// Searches for where streams began, by number.
    pub origin_lookups: BTreeMap<u64, OriginLookup>,
    /// Number of the next such search.
    pub next_lookup: u64,
    /// Decides which runs get copies.
    pub run_copies: RunCopies,
    /// Durations of calls, by route.
    pub call_times: CallTimes,
    /// Load of the link and the processor.
    pub pressure: Pressure,
    /// This instance's part in sharing load with its data centre.
    pub load_sharing: LoadSharing,
    /// Which new connections are closed unread.
    pub connection_shedding: ConnectionShedding,
    /// Queues of bulk prompts.
    pub prompt_queues: PromptQueues,
    /// Whether the load of bulk prompts has risen since the last digest.
    pub has_bulk_load_risen: bool,
    /// Source of random choices.
    pub random: Random,
    /// Whether a stop has begun.
    pub is_stopping: bool,
    instance: InstanceId,
    /// This instance as a candidate lender.
    own_candidate: Candidate,
    lenders: Lenders,
    capacity_percent: u64,
    small_fleet: u64,
    retries: BTreeMap<ServiceId, RetryBudget>,
    retry_percent: u64,
    extra_retries: u64,
}

impl State {
    /// Makes the initial state of an instance.
    #[must_use]
    pub fn new(options: &GatewayOptions, started_at: Duration) -> Self {
        let identity = options.identity.clone();
        let mut target_table =
            TargetTable::new(&identity.data_centre, options.target_table.clone())
                .for_instance(&identity.instance, started_at);
        if options.is_first_start {
            target_table.assume_no_earlier_versions();
        }
        let address = options.peers_address.to_string();
        Self {
            catalogue: CatalogueInForce::default(),
            target_table,
            reach: Reach::default(),
            random: Random::new(identity.incarnation),
            instance: identity.instance.clone(),
            own_candidate: Candidate::new(
                &identity.instance,
                options.peers_address,
                &identity.data_centre,
            ),
            lenders: Lenders::default(),
            lender: Lender::default(),
            borrower: Borrower::new(identity.incarnation),
            capacity_percent: options.capacity_percent,
            small_fleet: u64::from(options.escrow.small_fleet),
            holder: Holder::new(identity, &address, options.escrow.clone()),
            contact: Contact::default(),
            followed_at: BTreeMap::new(),
            stored_catalogue: None,
            catalogue_changes: ContentChanges::default(),
            catalogue_fault: None,
            evacuated_listed: None,
            evacuated_fault: None,
            ledger_fault: None,
            store_history: None,
            targets_version: 0,
            delisted_targets: DelistedTargets::default(),
            list_changes: ListChanges::default(),
            wants_whole_list: false,
            compared_at: None,
            members: BTreeMap::new(),
            fleet_clock: FleetClock::default(),
            pulling: BTreeSet::new(),
            wanted_tokens: BTreeMap::new(),
            transfers_made: 0,
            transfers_accepted: BTreeMap::new(),
            known_writer: None,
            suspects: Suspects::default(),
            stream_origins: StreamOrigins::default(),
            origin_lookups: BTreeMap::new(),
            next_lookup: 0,
            run_copies: RunCopies::new(options.copies),
            call_times: CallTimes::default(),
            pressure: Pressure::with_admission(options.link_bytes_per_s, options.admission),
            load_sharing: LoadSharing::new(
                &options.identity.data_centre,
                options.capacity_percent,
                options.rotation,
            ),
            connection_shedding: ConnectionShedding::default(),
            prompt_queues: PromptQueues::new(options.link_bytes_per_s),
            has_bulk_load_risen: false,
            is_stopping: false,
            retries: BTreeMap::new(),
            retry_percent: options.retry_percent,
            extra_retries: options.extra_retries_per_s * RETRY_SPAN.as_secs(),
        }
    }

    /// Looks up the terms of a call.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call is refused.
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
        let class = route.class(priority);
        let terms = Terms {
            is_bulk: route.kind.is_stream() && catalogue.is_bulk(service, &class),
            catalogue_age: self.catalogue.age(now),
            service: service.to_owned(),
            account: account.map(|account| account.name.clone()),
            home_regions: home_regions(&route, account).map(Arc::new),
            priority,
            route: Arc::clone(&route),
            catalogue: Arc::clone(&catalogue),
        };
        self.retry_budget(now, &terms.service).add_request();
        self.target_table.set_instances(self.holder.instances());
        Ok(terms)
    }

    /// Makes the time stamp for entries that are written to the store.
    #[must_use]
    pub fn stamp(&self, now: Duration, boot: BootTime, own_unix_ms: u64) -> Stamp {
        let instances = usize::try_from(self.holder.instances()).unwrap_or(usize::MAX);
        let median = self.fleet_clock.median(now, own_unix_ms, instances);
        Stamp {
            boot_name: boot.name,
            boot_ms: boot.ms,
            unix_ms: own_unix_ms,
            fleet_early_ms: median.map(|(early, _)| early),
            fleet_late_ms: median.map(|(_, late)| late),
        }
    }

    /// Returns the address of the peer that last reported the most free tokens of an account.
    #[must_use]
    pub fn richest_member(&self, now: Duration, account: &str) -> Option<SocketAddr> {
        self.members_by_free_tokens(now, account)
            .first()
            .map(|(_, address, _)| *address)
    }

    /// Returns the peers to ask for the tokens of an account that a call lacks, each with its
    /// share; none if the peers that may be asked hold too few together.
    ///
    /// Each peer keeps half of its tokens. When many instances share an account, no single peer may
    /// hold twice the tokens of a long call; asking only one peer refused calls although the peers
    /// together held enough.
    #[must_use]
    pub fn token_senders(
        &self,
        now: Duration,
        account: &str,
        tokens: u64,
    ) -> Vec<(SocketAddr, u64)> {
        let mut missing = tokens;
        let mut token_senders = Vec::new();
        for (free, address, _) in self
            .members_by_free_tokens(now, account)
            .iter()
            .take(TOKEN_SENDERS_MAX)
        {
            let part = missing.min(free / 2);
            if part > 0 {
                token_senders.push((*address, part));
                missing -= part;
            }
        }
        if missing > 0 {
            token_senders.clear();
        }
        token_senders
    }

    /// Returns the free tokens of an account that peers last reported, largest first.
    fn members_by_free_tokens(
        &self,
        now: Duration,
        account: &str,
    ) -> Vec<(u64, SocketAddr, &InstanceId)> {
        let mut members: Vec<(u64, SocketAddr, &InstanceId)> = self
            .members
            .iter()
            .filter(|(_, member)| now.saturating_sub(member.received_at) < MEMBER_AGE_MAX)
            .filter_map(|(name, member)| {
                Some((*member.free_tokens.get(account)?, member.address, name))
            })
            .collect();
        members.sort_unstable_by(|one, other| other.cmp(one));
        members
    }

    /// Takes one retry from the instance's share of the fleet's retry budget.
    pub fn try_retry(&mut self, now: Duration, service: &str) -> bool {
        self.retry_budget(now, service).try_retry(now)
    }

    /// Returns whether a call could resume at another target: there is an untried target, and a
    /// retry is available.
    pub fn has_successor(
        &mut self,
        now: Duration,
        service: &str,
        work: &Work,
        tried: &[TargetId],
    ) -> bool {
        self.retry_budget(now, service).can_retry(now)
            && self
                .target_table
                .has_other_target(now, service, work, tried)
    }

    fn retry_budget(&mut self, now: Duration, service: &str) -> &mut RetryBudget {
        let instances = self.known_instances();
        let (percent, extra) = (self.retry_percent, self.extra_retries);
        self.retries
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::of_fleet(percent, extra, RETRY_SPAN, instances, now))
    }
}

/// Returns the regions that may run a call: the intersection if both route and account name some.
fn home_regions(route: &Route, account: Option<&Account>) -> Option<BTreeSet<RegionId>> {
    let of_account = account.map(|account| &account.home_regions);
    let mut named = [Some(&route.home_regions), of_account]
        .into_iter()
        .flatten()
        .filter(|home_regions| !home_regions.is_empty());
    let first = named.next()?.clone();
    Some(named.fold(first, |both, home_regions| {
        both.intersection(home_regions).cloned().collect()
    }))
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
