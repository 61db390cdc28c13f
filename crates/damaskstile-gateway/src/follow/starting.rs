//! Start of a fleet: keeps instances that start together from all listing everything at the store.

use std::time::Duration;

use super::{Followed, must_watch};
use crate::gateway::Gateway;

/// Time limit after a first start for the seeds to list everything and announce it: two digests and
/// a list.
const START_DIGEST_WAIT: Duration = Duration::from_millis(1_200);
/// Time after a first start past which an instance that learned that peers have everything reads it
/// itself. A fleet passes data from instance to instance in several rounds.
const FIRST_START_WAIT: Duration = Duration::from_secs(5);
/// Time limit for receiving digests of peers when instances restart while callers wait.
const RESTART_DIGEST_WAIT: Duration = Duration::from_millis(500);
/// Interval between checks for digests of peers.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Returns whether peers provide the data, before anything was listed. Hundreds of instances that
/// start together and list everything would fill the store's link for seconds, so all but the seeds
/// wait briefly for digests of peers in touch with the store. At the first start of a fleet no
/// caller waits, so the limit is longer.
pub(super) async fn can_follow_peers(gateway: &Gateway) -> bool {
    let options = &gateway.options;
    if options.seeds.is_empty() || options.seeds.contains(&options.peers_address) {
        return false;
    }
    let wait = if options.is_first_start {
        START_DIGEST_WAIT
    } else {
        RESTART_DIGEST_WAIT
    };
    let until = gateway.started_at + wait;
    while must_watch(gateway) && gateway.now() < until {
        if !options.is_first_start && is_of_small_fleet(gateway) {
            return false;
        }
        tokio::time::sleep(START_CHECK_INTERVAL).await;
    }
    !must_watch(gateway)
}

/// Returns whether a peer is known and the fleet is small: then each instance lists for itself.
fn is_of_small_fleet(gateway: &Gateway) -> bool {
    let state = gateway.state();
    !state.members.is_empty() && !state.is_large_fleet()
}

/// Returns whether nothing of a kind is known although peers had time to provide it.
pub(super) fn is_overdue(gateway: &Gateway, followed: Followed) -> bool {
    let is_unknown = {
        let state = gateway.state();
        match followed {
            Followed::Catalogue => state.catalogue.get().is_none(),
            Followed::Targets => state.targets_version == 0,
            Followed::Evacuated => state.target_table.evacuations().version().is_none(),
        }
    };
    let wait = if gateway.options.is_first_start {
        FIRST_START_WAIT
    } else {
        START_DIGEST_WAIT
    };
    is_unknown && gateway.now() >= gateway.started_at + wait
}
