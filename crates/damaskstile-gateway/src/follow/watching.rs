//! A single watch of the store, given up when an outage may have lost it.
//!
//! A store that stops answering may lose the watches that it has received and still answer all
//! later calls. Such a watch ends only at its own time limit, which is longer than a change may
//! take to take effect. The symptom is event 508 with a recent answer to other calls. Each watch is
//! therefore tied to the answers of other calls: one call is made right beside it, more follow
//! while the store is silent, and at the end of an outage that one of them met, the watch is sent
//! again. An answer to an earlier call proves nothing: the store may have stopped answering after
//! it received that call.

use std::time::Duration;

use damaskstile_core::ids::Version;
use tokio::sync::watch::Receiver;
use tokio::time::Instant;

use crate::follow::{FOLLOWER_CHECK_INTERVAL, must_watch};
use crate::gateway::Gateway;
use crate::objects::{Change, ObjectStore, StoreError};
use crate::store_probe;

/// Time limit of one watch. Each further watch is a call to the store.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Delay after a watch is sent before another call is made beside it: long enough for the watch to
/// be under way, so that an outage that loses the watch affects the call too.
const PROBE_DELAY: Duration = Duration::from_millis(50);
/// Shortest interval between watches that are renewed because of outages. If the store refuses some
/// calls and answers others, each such pair looks like an outage; without this limit an instance
/// that lacks tokens for six callers sends 16 watches a second, with it 3.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between checks whether a fleet that seemed small is large. Instances of a small fleet
/// always watch for themselves and should wake up seldom.
const SMALL_FLEET_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// `WatchOutcome` is the outcome of one watch.
#[derive(Debug)]
pub(super) enum WatchOutcome {
    /// The changes, and the version from which to continue to watch.
    Changes(Vec<Change>, Version),
    /// The store answers again after an outage that may have lost this watch.
    LostInOutage,
    /// Peers watch for this instance again, so that their gossip replaces this watch.
    NotNeeded,
    /// The watch failed.
    Failed(StoreError),
}

/// Waits for changes after a version.
pub(super) async fn watch_once(gateway: &Gateway, kind: &str, after: Version) -> WatchOutcome {
    // Subscribed before the watch is sent: an outage that ended earlier cannot have met it.
    let outages_ended = gateway.outages_ended.subscribe();
    let watching = gateway.store.watch(kind, after, WATCH_WAIT);
    tokio::select! {
        biased;
        answer = watching => match answer {
            Ok((changes, next)) => WatchOutcome::Changes(changes, next),
            Err(error) => WatchOutcome::Failed(error),
        },
        () = until_outage_ended(gateway, outages_ended) => WatchOutcome::LostInOutage,
        () = until_not_needed(gateway) => WatchOutcome::NotNeeded,
    }
}

/// Returns once peers watch for this instance. While it watches itself, it would not read what they
/// announce, and nothing would make up for a watch that the store has lost.
async fn until_not_needed(gateway: &Gateway) {
    while must_watch(gateway) {
        let is_large = gateway.state().is_large_fleet();
        let interval = if is_large {
            FOLLOWER_CHECK_INTERVAL
        } else {
            SMALL_FLEET_CHECK_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

/// Returns once an outage has ended that may have lost a watch that was just sent.
async fn until_outage_ended(gateway: &Gateway, mut outages_ended: Receiver<u64>) {
    let sent_at = Instant::now();
    tokio::time::sleep(PROBE_DELAY).await;
    store_probe::probe_store(gateway).await;
    // An outage that ended before this point is still seen after it.
    tokio::time::sleep_until(sent_at + RENEWAL_INTERVAL).await;
    if outages_ended.changed().await.is_err() {
        // The gateway has ended, and this task ends with it.
        std::future::pending::<()>().await;
    }
}
