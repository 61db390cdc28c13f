//! `starting` keeps a fleet that starts together from listing everything at each instance.

use std::time::Duration;

use super::{Followed, must_watch};
use crate::gateway::Gateway;

/// Longest time after a first start until the seeds have listed everything and told of it: two
/// digests and a list.
const START_TOLD_WAIT: Duration = Duration::from_millis(1_200);
/// Time after a first start until an instance that was told that peers have everything reads it
/// itself. A fleet hands on what there is from one to the other in some rounds.
const FIRST_START_PATIENCE: Duration = Duration::from_secs(5);
/// Longest time until peers are heard where instances start while callers wait.
const RESTART_TOLD_WAIT: Duration = Duration::from_millis(500);
/// Time between two looks at whether peers have told.
const START_LOOK: Duration = Duration::from_millis(25);

/// Tells whether peers say what there is, before anything was listed. Hundreds that start together
/// and list everything fill the store's link for seconds; all but the seeds wait a moment to hear of
/// peers in touch with the store. When a fleet starts for the first time no caller waits, so there is
/// more time.
pub(super) async fn is_told_at_start(gateway: &Gateway) -> bool {
    let options = &gateway.options;
    if options.seeds.is_empty() || options.seeds.contains(&options.peers_address) {
        return false;
    }
    let wait = if options.is_first_start {
        START_TOLD_WAIT
    } else {
        RESTART_TOLD_WAIT
    };
    let until = gateway.started_at + wait;
    while must_watch(gateway) && gateway.now() < until {
        if !options.is_first_start && is_of_small_fleet(gateway) {
            return false;
        }
        tokio::time::sleep(START_LOOK).await;
    }
    !must_watch(gateway)
}

/// Tells whether a peer was heard and the fleet is small: each instance lists for itself then.
fn is_of_small_fleet(gateway: &Gateway) -> bool {
    let state = gateway.state();
    !state.members.is_empty() && !state.is_large_fleet()
}

/// Tells whether nothing of a kind is known, although peers had the time to tell of it.
pub(super) fn is_overdue(gateway: &Gateway, followed: Followed) -> bool {
    let is_unknown = {
        let state = gateway.state();
        match followed {
            Followed::Catalogue => state.catalogue.get().is_none(),
            Followed::Targets => state.targets_version == 0,
            Followed::Emptied => state.book.emptied().version().is_none(),
        }
    };
    let wait = if gateway.options.is_first_start {
        FIRST_START_PATIENCE
    } else {
        START_TOLD_WAIT
    };
    is_unknown && gateway.now() >= gateway.started_at + wait
}
