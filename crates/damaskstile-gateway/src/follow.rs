//! Follows the store: keeps the catalogue, the list of targets and the list of evacuated data
//! centres up to date by lists and watches.

mod starting;
mod watching;

use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::evacuated_list;
use crate::fault::fault;
use crate::gateway::Gateway;
use crate::metrics::Stored;
use crate::objects::{Change, Listing, ObjectStore, StoreError, StoredObject};
use crate::record::logged_id;
use crate::state::State;
use crate::target_list;

use self::starting::{can_follow_peers, is_overdue};
use self::watching::{WatchOutcome, watch_once};

/// Interval between lists of an instance that receives changes from peers, per instance of the
/// fleet: all together make one call a second for each kind, whatever their number.
const FOLLOWER_INTERVAL: Duration = Duration::from_secs(1);
/// Range of the random number by which an instance chooses its delay within that interval.
pub const DRAWS: u64 = 1_000;
/// Shortest interval between two such lists.
const FOLLOWER_INTERVAL_MIN: Duration = Duration::from_secs(20);
/// Interval between checks whether this instance must watch the store itself.
pub(crate) const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after changes, so that a burst of them takes one call. Short compared with the two seconds
/// within which a change must take effect.
const BURST_PAUSE: Duration = Duration::from_millis(100);
/// Pause after changes in a large fleet, where targets come and go all the time and the time limits
/// are longer.
const LARGE_FLEET_BURST_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a failed call. Short compared with the time within which a change must take effect.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a failed call in a large fleet, whose instances together would make thousands of
/// useless calls.
const LARGE_FLEET_FAILURE_PAUSE: Duration = Duration::from_millis(600);

fn burst_pause(state: &State) -> Duration {
    if state.is_large_fleet() {
        LARGE_FLEET_BURST_PAUSE
    } else {
        BURST_PAUSE
    }
}

/// Returns the pause after a failed call.
pub(crate) fn failure_pause(state: &State) -> Duration {
    if state.is_large_fleet() {
        LARGE_FLEET_FAILURE_PAUSE
    } else {
        FAILURE_PAUSE
    }
}

/// `Followed` is a kind of objects that is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Followed {
    /// Routes, services and client accounts.
    Catalogue,
    /// The list of targets.
    Targets,
    /// Evacuated data centres, whose targets get no calls.
    Evacuated,
}

impl Followed {
    /// Returns its name in logs and metrics.
    ///
    /// ```
    /// use damaskstile_gateway::follow::Followed;
    /// assert_eq!(Followed::Catalogue.name(), "catalogue");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Catalogue => "catalogue",
            Self::Targets => "targets",
            Self::Evacuated => "emptied",
        }
    }
}

/// Follows a kind of objects until the process ends.
pub async fn follow(gateway: Arc<Gateway>, followed: Followed) {
    let kind = match followed {
        Followed::Catalogue => gateway.directory.catalogue_kind(),
        Followed::Targets => gateway.directory.targets_kind(),
        Followed::Evacuated => gateway.directory.evacuated_kind(),
    };
    let mut is_due = !can_follow_peers(&gateway).await;
    loop {
        wait_for_store(&gateway).await;
        if !is_due && !must_watch(&gateway) {
            is_due = wait_for_list(&gateway, followed).await;
            continue;
        }
        is_due = false;
        let listing = gateway.store.list(kind).await;
        match listing {
            Ok(listing) => {
                note_followed(&gateway, followed);
                note_unread(&gateway, followed, &listing);
                is_due = !apply_listing(&gateway, followed, &listing);
                if !is_due && must_watch(&gateway) {
                    watch(&gateway, followed, kind, &listing).await;
                }
            }
            Err(error) => note_failure(&gateway, &error),
        }
        // Gossip from peers also makes up for a failed list.
        if is_due || must_watch(&gateway) {
            let pause = failure_pause(&gateway.state());
            tokio::time::sleep(pause).await;
        }
    }
}

/// Waits, in a large fleet, during an outage that other instances probe.
async fn wait_for_store(gateway: &Gateway) {
    let mut outages_ended = gateway.outages_ended.subscribe();
    while !gateway.state().may_call_store(gateway.now()) {
        // Checked again at the end of an outage, at the latest after the interval.
        let _ = tokio::time::timeout(FOLLOWER_CHECK_INTERVAL, outages_ended.changed()).await;
    }
}

/// Returns how long an instance that receives changes from peers waits before it lists, by a random
/// number below [`DRAWS`]. The delay spreads the lists of instances that started together.
///
/// ```
/// use std::time::Duration;
/// use damaskstile_gateway::follow::{DRAWS, list_pause};
/// assert_eq!(list_pause(1_000, 0), Duration::from_secs(20));
/// assert!(list_pause(1_000, DRAWS - 1) > Duration::from_secs(1_000));
/// ```
#[must_use]
pub fn list_pause(instances: u64, draw: u64) -> Duration {
    let all = FOLLOWER_INTERVAL * u32::try_from(instances).unwrap_or(u32::MAX);
    let part = u32::try_from(draw.min(DRAWS)).unwrap_or(u32::MAX);
    let parts = u32::try_from(DRAWS).unwrap_or(u32::MAX);
    FOLLOWER_INTERVAL_MIN + all / parts * part
}

/// Waits, as an instance of a large fleet that receives changes from peers. Returns whether a list
/// is due: from time to time, in case no gossip arrives, or because peers know of a newer
/// catalogue.
async fn wait_for_list(gateway: &Gateway, followed: Followed) -> bool {
    let began_at = gateway.now();
    let draw = gateway.state().random.below(DRAWS);
    while !must_watch(gateway) {
        // The number of instances is known only a while after a start.
        let instances = gateway.state().known_instances();
        let is_due = gateway.now() >= began_at + list_pause(instances, draw);
        if is_due || is_overdue(gateway, followed) {
            return true;
        }
        let interval = tokio::time::sleep(FOLLOWER_CHECK_INTERVAL);
        if followed != Followed::Catalogue {
            interval.await;
            continue;
        }
        tokio::select! {
            () = interval => {}
            () = gateway.catalogue_wanted.notified() => return true,
        }
    }
    false
}

pub(crate) fn must_watch(gateway: &Gateway) -> bool {
    let now = gateway.now();
    gateway.state().must_watch(now)
}

/// Watches until a call fails, after which the list is read again, or until this instance receives
/// changes from peers. An incomplete listing is read again after the first answer.
async fn watch(gateway: &Arc<Gateway>, followed: Followed, kind: &str, listing: &Listing) {
    let mut version = listing.version;
    loop {
        let began_at = gateway.now();
        match watch_once(gateway, kind, version).await {
            WatchOutcome::Changes(changes, next) => {
                version = next;
                apply_changes(gateway, followed, changes, version).await;
            }
            // The next watch begins at the same version and covers the changes since.
            WatchOutcome::LostInOutage => {
                log_unanswered(
                    gateway,
                    followed,
                    began_at,
                    "an outage of the store is over",
                );
            }
            WatchOutcome::NotNeeded => {}
            WatchOutcome::Failed(error) => {
                log_unanswered(gateway, followed, began_at, &error.to_string());
                handle_failed_watch(gateway, began_at, &error);
                return;
            }
        }
        if !must_watch(gateway) || listing.unread_after.is_some() {
            return;
        }
    }
}

async fn apply_changes(
    gateway: &Gateway,
    followed: Followed,
    changes: Vec<Change>,
    version: Version,
) {
    note_followed(gateway, followed);
    let is_burst = !changes.is_empty();
    if followed == Followed::Evacuated {
        evacuated_list::apply_changes(gateway, &changes, version);
        return;
    }
    let mut is_news = false;
    for change in changes {
        is_news |= apply_change(gateway, followed, change, version);
    }
    // Peers pull the list for each new version, so changes without news to peers make none.
    if followed == Followed::Targets && is_news {
        let mut state = gateway.state();
        // A list pulled from a peer may be newer than this watch.
        state.targets_version = state.targets_version.max(version);
        let known = state.targets_version;
        state.note_changes(known);
        drop(state);
        gateway.gossip_wanted.notify_one();
    }
    if is_burst && must_watch(gateway) {
        let pause = burst_pause(&gateway.state());
        tokio::time::sleep(pause).await;
    }
}

/// Handles a failed watch. If another call was answered since the watch was sent, its failure alone
/// is no sign of an outage: otherwise each watch cut by the store would keep delisted targets in
/// use. An ongoing outage makes the next list fail too.
fn handle_failed_watch(gateway: &Gateway, began_at: Duration, error: &StoreError) {
    let now = gateway.now();
    let waited = now.saturating_sub(began_at);
    let is_answered_since = {
        let age = gateway.state().contact.age(now);
        age.is_some_and(|age| age < waited)
    };
    if !is_answered_since {
        note_failure(gateway, error);
    }
}

/// Records that the store answered a list or a watch.
fn note_followed(gateway: &Gateway, followed: Followed) {
    note_answer(gateway);
    let now = gateway.now();
    gateway.state().followed_at.insert(followed, now);
}

/// Records that a listing could not be read to its end.
fn note_unread(gateway: &Gateway, followed: Followed, listing: &Listing) {
    if let Some(last) = &listing.unread_after {
        gateway.metrics.list_incomplete(followed.name());
        let version = listing.version.to_string();
        let fields = [
            ("list", followed.name()),
            ("after", logged_id(Some(last))),
            ("version", &version),
        ];
        gateway.log(EventCode::ListIncomplete, &fields);
    }
}

/// Logs that a watch ended without an answer, which answers to other calls do not show.
fn log_unanswered(gateway: &Gateway, followed: Followed, began_at: Duration, cause: &str) {
    let now = gateway.now();
    let waited_ms = now.saturating_sub(began_at).as_millis().to_string();
    let answered_ms = {
        let age = gateway.state().contact.age(now);
        age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string())
    };
    gateway.log(
        EventCode::WatchUnanswered,
        &[
            ("watch", followed.name()),
            ("waited_ms", &waited_ms),
            ("store_answered_ms_ago", &answered_ms),
            ("cause", cause),
        ],
    );
}

/// Records the history of the store and logs when it changes.
fn note_history(gateway: &Gateway) {
    let history = gateway.store.history();
    let (is_other, targets_version) = {
        let mut state = gateway.state();
        let known = state.store_history.replace(history);
        state.holder.set_store_history(history);
        let is_other = known.is_some_and(|known| known != history);
        (is_other, state.targets_version)
    };
    if !is_other {
        return;
    }
    let fields = [
        ("history", &history.to_string()),
        ("targets_version", &targets_version.to_string()),
    ];
    let fields = fields.map(|(name, value)| (name, value.as_str()));
    gateway.log(EventCode::StoreRestored, &fields);
    // Restarts the watches: they wait on versions that the restored store issues a second time.
    gateway.outages_ended.send_modify(|count| *count += 1);
    gateway.round_wanted.notify_one();
    gateway.gossip_wanted.notify_one();
}

/// Records an answer of the store.
pub(crate) fn note_answer(gateway: &Gateway) {
    note_history(gateway);
    let now = gateway.now();
    if gateway.state().contact.answered(now) {
        gateway.outages_ended.send_modify(|count| *count += 1);
        // Peers that cannot reach the store should learn at once that this instance can.
        gateway.gossip_wanted.notify_one();
        gateway.log(EventCode::StoreRegained, &[]);
    }
}

/// Records that the store did not answer a call.
pub(crate) fn note_failure(gateway: &Gateway, error: &StoreError) {
    let cause = match error {
        // These errors are answers of the store.
        StoreError::Outdated | StoreError::Conflict(_) => return note_history(gateway),
        StoreError::NotDone(cause) | StoreError::Lost(cause) => cause,
    };
    let now = gateway.now();
    if gateway.state().contact.failed(now) {
        gateway.log(EventCode::StoreLost, &[("cause", cause)]);
    }
}

/// Applies a listing; returns whether it is reliable, false if another one is needed.
fn apply_listing(gateway: &Gateway, followed: Followed, listing: &Listing) -> bool {
    match followed {
        Followed::Catalogue => {
            for object in &listing.objects {
                apply_catalogue(gateway, object, "store");
            }
            true
        }
        Followed::Targets => {
            target_list::apply_listing(gateway, listing);
            true
        }
        Followed::Evacuated => evacuated_list::apply_listing(gateway, listing),
    }
}

/// Applies a change; returns whether it is news of a target.
fn apply_change(gateway: &Gateway, followed: Followed, change: Change, version: Version) -> bool {
    match (followed, change) {
        (Followed::Catalogue, Change::Put(object)) => {
            apply_catalogue(gateway, &object, "store");
            false
        }
        // Deletion of the whole catalogue is never accepted; the last valid one stays in force.
        (Followed::Catalogue, Change::Gone(name)) => {
            gateway.log(EventCode::EntryRefused, &[("gone", &name)]);
            false
        }
        (Followed::Targets, Change::Put(object)) => target_list::apply_entry(gateway, &object),
        (Followed::Targets, Change::Gone(name)) => {
            target_list::apply_removal(gateway, &name, version)
        }
        (Followed::Evacuated, change) => {
            evacuated_list::apply_changes(gateway, &[change], version);
            false
        }
    }
}

/// Applies a catalogue from the store or a peer.
pub(crate) fn apply_catalogue(gateway: &Gateway, object: &StoredObject, source: &str) {
    match gateway.directory.catalogue(object) {
        Ok(Some(catalogue)) => {
            gateway.state().catalogue_fault = None;
            let version = catalogue.version();
            let prepaid = catalogue.prepaid_tokens();
            let routes = catalogue.route_names();
            let services: BTreeSet<ServiceId> =
                catalogue.services().map(|one| one.name.clone()).collect();
            let first_rank = catalogue.most_urgent_stream_priority();
            let cold_limits = gateway.options.cold.limits(&catalogue);
            let now = gateway.now();
            let mut state = gateway.state();
            let is_new = state.catalogue.apply(now, catalogue);
            if !is_new {
                return;
            }
            state.holder.set_prepaid(version, prepaid);
            state.holder.set_first_rank(first_rank);
            state.target_table.set_cold_limits(cold_limits);
            state.retain_routes(&routes);
            state.retain_services(&services);
            state.stored_catalogue = Some(object.clone());
            state
                .catalogue_changes
                .note(object.version, &object.content);
            drop(state);
            gateway.round_wanted.notify_one();
            gateway.gossip_wanted.notify_one();
            let version = version.to_string();
            gateway.log(
                EventCode::CatalogueApplied,
                &[("version", &version), ("source", source)],
            );
        }
        Ok(None) => {}
        Err(error) => note_refused(gateway, object, &error),
    }
}

/// Records that a catalogue is unusable, once for each distinct fault: a writer that repeats it
/// must not fill the logs.
fn note_refused(gateway: &Gateway, object: &StoredObject, error: &str) {
    let fault = fault(error);
    let before = gateway.state().catalogue_fault.replace(fault.clone());
    if before.as_ref() != Some(&fault) {
        gateway.metrics.refused(Stored::Catalogue);
        target_list::log_refused(gateway, &object.name, object.version, &fault);
    }
}
