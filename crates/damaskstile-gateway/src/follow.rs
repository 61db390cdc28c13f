//! `follow` keeps what the store holds of routes and targets up to date.

use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::gateway::Gateway;
use crate::objects::{Change, Listing, StoreError, StoredObject};
use crate::state::State;

/// Longest time that one watch waits. Each further one is a call to the store; a connection that
/// fell silent is found by its keep-alive long before.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time between two lists of an instance that hears of changes from peers.
const FOLLOWER_INTERVAL: Duration = Duration::from_secs(20);
/// Time between two looks at whether it must watch itself.
const FOLLOWER_LOOK: Duration = Duration::from_millis(250);
/// Pause after changes, so that a burst of them comes with one call. Small beside the two seconds
/// within which a change must be in force.
const BURST_PAUSE: Duration = Duration::from_millis(100);
/// The same in a large fleet, where targets come and go all the time, and the bounds leave more.
const LARGE_BURST_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a call that failed. Short beside the time within which a change must be in force.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// The same in a large fleet, whose instances together would make thousands of calls in vain.
const LARGE_FAILURE_PAUSE: Duration = Duration::from_millis(600);

fn burst_pause(state: &State) -> Duration {
    if state.is_large_fleet() {
        LARGE_BURST_PAUSE
    } else {
        BURST_PAUSE
    }
}

/// Returns the pause after a call that failed.
pub(crate) fn failure_pause(state: &State) -> Duration {
    if state.is_large_fleet() {
        LARGE_FAILURE_PAUSE
    } else {
        FAILURE_PAUSE
    }
}

/// What is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Followed {
    /// Routes, services and client accounts.
    Catalogue,
    /// The list of targets.
    Targets,
}

/// Follows a kind of objects until the process ends.
pub async fn follow(gateway: Arc<Gateway>, followed: Followed) {
    let kind = match followed {
        Followed::Catalogue => gateway.directory.catalogue_kind(),
        Followed::Targets => gateway.directory.targets_kind(),
    };
    loop {
        let listing = gateway.store.list(kind).await;
        match listing {
            Ok(listing) => {
                note_answer(&gateway);
                let version = listing.version;
                take_all(&gateway, followed, &listing);
                if must_watch(&gateway) {
                    watch(&gateway, followed, kind, version).await;
                } else {
                    rest(&gateway, followed).await;
                    continue;
                }
            }
            Err(error) => note_failure(&gateway, &error),
        }
        let pause = failure_pause(&gateway.state());
        tokio::time::sleep(pause).await;
    }
}

/// Waits, as an instance of a large fleet that hears of changes from peers. It still lists now and
/// then, in case that it hears of nobody.
async fn rest(gateway: &Gateway, followed: Followed) {
    let until = gateway.now() + FOLLOWER_INTERVAL;
    while gateway.now() < until && !must_watch(gateway) {
        let look = tokio::time::sleep(FOLLOWER_LOOK);
        if followed == Followed::Targets {
            look.await;
            continue;
        }
        tokio::select! {
            () = look => {}
            () = gateway.catalogue_wanted.notified() => return,
        }
    }
}

fn must_watch(gateway: &Gateway) -> bool {
    let now = gateway.now();
    gateway.state().must_watch(now)
}

/// Watches until a call fails, then the list is read anew, or until this instance hears of changes
/// from peers.
async fn watch(gateway: &Arc<Gateway>, followed: Followed, kind: &str, mut version: Version) {
    loop {
        match gateway.store.watch(kind, version, WATCH_WAIT).await {
            Ok((changes, next)) => {
                note_answer(gateway);
                version = next;
                let is_burst = !changes.is_empty();
                let mut is_news = false;
                for change in changes {
                    is_news |= take_change(gateway, followed, change);
                }
                // Peers read the list anew for each version, so what tells them nothing makes none.
                if followed == Followed::Targets && is_news {
                    gateway.state().targets_version = version;
                    gateway.news.notify_one();
                }
                if !must_watch(gateway) {
                    return;
                }
                if is_burst {
                    let pause = burst_pause(&gateway.state());
                    tokio::time::sleep(pause).await;
                }
            }
            Err(error) => {
                note_failure(gateway, &error);
                return;
            }
        }
    }
}

/// Notes that the store answered.
pub(crate) fn note_answer(gateway: &Gateway) {
    let now = gateway.now();
    if gateway.state().contact.answered(now) {
        // Peers that cannot reach the store should turn to this instance at once.
        gateway.news.notify_one();
        gateway.log(EventCode::StoreRegained, &[]);
    }
}

/// Notes that the store did not answer.
pub(crate) fn note_failure(gateway: &Gateway, error: &StoreError) {
    let cause = match error {
        // These are answers.
        StoreError::Outdated | StoreError::Conflict(_) => return,
        StoreError::NotDone(cause) | StoreError::Lost(cause) => cause,
    };
    let now = gateway.now();
    if gateway.state().contact.failed(now) {
        gateway.log(EventCode::StoreLost, &[("cause", cause)]);
    }
}

fn take_all(gateway: &Gateway, followed: Followed, listing: &Listing) {
    match followed {
        Followed::Catalogue => {
            for object in &listing.objects {
                take_catalogue(gateway, object, "store");
            }
        }
        Followed::Targets => {
            let mut all = Vec::new();
            for object in &listing.objects {
                match gateway.directory.target(object) {
                    Ok(listed) => all.push(listed),
                    Err(error) => note_refused(gateway, object, &error),
                }
            }
            let count = all.len().to_string();
            let now = gateway.now();
            let mut state = gateway.state();
            let is_around_outage = state.contact.is_around_outage(now);
            state.book.list_all(now, all, is_around_outage);
            state.targets_version = listing.version;
            drop(state);
            let version = listing.version.to_string();
            gateway.log(
                EventCode::TargetListed,
                &[("targets", &count), ("version", &version)],
            );
        }
    }
}

/// Takes in a change; returns whether it is news of a target.
fn take_change(gateway: &Gateway, followed: Followed, change: Change) -> bool {
    match (followed, change) {
        (Followed::Catalogue, Change::Put(object)) => {
            take_catalogue(gateway, &object, "store");
            false
        }
        // Routes that are gone as a whole were never accepted; the last good state stays.
        (Followed::Catalogue, Change::Gone(name)) => {
            gateway.log(EventCode::EntryRefused, &[("gone", &name)]);
            false
        }
        (Followed::Targets, Change::Put(object)) => take_target(gateway, &object),
        (Followed::Targets, Change::Gone(name)) => {
            let now = gateway.now();
            let mut state = gateway.state();
            let is_around_outage = state.contact.is_around_outage(now);
            state.book.unlist(now, &name, is_around_outage);
            drop(state);
            gateway.news.notify_one();
            gateway.metrics.forget_target(&name);
            let around = is_around_outage.to_string();
            gateway.log(
                EventCode::TargetUnlisted,
                &[("target", &name), ("around_outage", &around)],
            );
            true
        }
    }
}

/// Takes in a catalogue, from the store or a peer.
pub(crate) fn take_catalogue(gateway: &Gateway, object: &StoredObject, source: &str) {
    match gateway.directory.catalogue(object) {
        Ok(Some(catalogue)) => {
            let version = catalogue.version();
            let prepaid = catalogue.prepaid_tokens();
            let routes = catalogue.route_names();
            let now = gateway.now();
            let mut state = gateway.state();
            let is_new = state.catalogue.apply(now, catalogue);
            if !is_new {
                return;
            }
            state.holder.set_prepaid(version, prepaid);
            state.call_times.retain(|route| routes.contains(route));
            state.stored_catalogue = Some(object.clone());
            drop(state);
            gateway.round_wanted.notify_one();
            gateway.news.notify_one();
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

/// Takes in an entry of the list; returns whether it is news.
fn take_target(gateway: &Gateway, object: &StoredObject) -> bool {
    match gateway.directory.target(object) {
        Ok(listed) => {
            let target = listed.target.clone();
            let is_ready = listed.is_ready.to_string();
            let now = gateway.now();
            let is_news = gateway.state().book.list(now, listed);
            if is_news {
                let version = object.version.to_string();
                gateway.log(
                    EventCode::TargetListed,
                    &[
                        ("target", &target),
                        ("ready", &is_ready),
                        ("version", &version),
                    ],
                );
            }
            is_news
        }
        Err(error) => {
            note_refused(gateway, object, &error);
            false
        }
    }
}

fn note_refused(gateway: &Gateway, object: &StoredObject, error: &str) {
    let version = object.version.to_string();
    gateway.log(
        EventCode::EntryRefused,
        &[
            ("name", &object.name),
            ("version", &version),
            ("error", error),
        ],
    );
}
