//! `watching` waits for one answer of a watch, and gives up a watch that an outage has lost.
//!
//! A store that falls silent may lose the watches that it was sent and answer all later calls. Such
//! a watch ends only at its own limit, which is longer than a change may take to come into force.
//! One notices it by event 508 with a recent answer to other calls. So each watch is tied to the
//! answers of other calls: one is made right beside it, more follow while the store says nothing,
//! and once an outage that one of them met is over, the watch is sent anew. An answer to an earlier
//! call proves nothing: the store may have fallen silent after it took that call.

use std::time::Duration;

use damaskstile_core::ids::Version;
use tokio::sync::watch::Receiver;
use tokio::time::Instant;

use crate::follow::{FOLLOWER_LOOK, must_watch};
use crate::gateway::Gateway;
use crate::objects::{Change, ObjectStore, StoreError};
use crate::proof;

/// Longest time that one watch waits. Each further one is a call to the store.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time after a watch was sent until another call is made beside it: long enough for the watch to
/// be on its way first, so that an outage in which the watch is lost meets the call too.
const BESIDE_DELAY: Duration = Duration::from_millis(50);
/// Shortest time between two watches that outages end. Where the store refuses some calls and
/// answers others, each pair of them looks like an outage; without this an instance that lacks
/// tokens sends 16 watches a second, with it 3 (real processes, six callers).
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two looks at whether a fleet that seemed small has turned out large. Instances of a
/// small fleet are never relieved and should wake up seldom.
const SMALL_FLEET_LOOK: Duration = Duration::from_secs(1);

/// `Watched` is how one watch ended.
#[derive(Debug)]
pub(super) enum Watched {
    /// With an answer: the changes, and the version to watch on from.
    Changes(Vec<Change>, Version),
    /// The store answers again after an outage in which this watch may have been lost.
    LostInOutage,
    /// Peers watch for this instance again, so their word counts and not this watch.
    NotNeeded,
    /// With an error.
    Failed(StoreError),
}

/// Waits for changes after a version.
pub(super) async fn watch_once(gateway: &Gateway, kind: &str, after: Version) -> Watched {
    // Subscribed before the watch is sent: an outage that ended earlier cannot have met it.
    let outages_over = gateway.outages_over.subscribe();
    let watching = gateway.store.watch(kind, after, WATCH_WAIT);
    tokio::select! {
        biased;
        answer = watching => match answer {
            Ok((changes, next)) => Watched::Changes(changes, next),
            Err(error) => Watched::Failed(error),
        },
        () = outage_over(gateway, outages_over) => Watched::LostInOutage,
        () = not_needed(gateway) => Watched::NotNeeded,
    }
}

/// Returns once peers watch for this instance. In a watch it would not hear what they tell it to
/// read, and nobody makes up for it where the store has lost the watch.
async fn not_needed(gateway: &Gateway) {
    while must_watch(gateway) {
        let is_large = gateway.state().is_large_fleet();
        let look = if is_large {
            FOLLOWER_LOOK
        } else {
            SMALL_FLEET_LOOK
        };
        tokio::time::sleep(look).await;
    }
}

/// Returns once an outage is over that may have lost a watch that was sent just now.
async fn outage_over(gateway: &Gateway, mut outages_over: Receiver<u64>) {
    let sent_at = Instant::now();
    tokio::time::sleep(BESIDE_DELAY).await;
    proof::prove(gateway).await;
    // An outage that ends before this is still seen after it.
    tokio::time::sleep_until(sent_at + RENEWAL_INTERVAL).await;
    if outages_over.changed().await.is_err() {
        // The gateway has ended, and this duty ends with it.
        std::future::pending::<()>().await;
    }
}
