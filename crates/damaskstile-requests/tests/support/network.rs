//! Network between the instances of a simulated fleet, which loses datagrams.

use damaskstile_core::random::{Random, stable_hash};

/// Step of the simulations.
pub const STEP_MS: u64 = 10;
/// Time between two digests of an instance if nothing changes.
pub const DIGEST_MS: u64 = 400;
/// Number of peers that receive a digest in a large fleet.
pub const FANOUT: usize = 10;
/// Number of instances up to which a digest is sent to all peers.
const SMALL_FLEET: usize = 16;
/// Number of instances that collect the crashes of one content in a large fleet.
const COLLECTORS: usize = 4;
/// Share of datagrams that get lost, in percent.
const LOSS_PERCENT: u64 = 10;
/// Maximum transit time of a datagram, in addition to one step.
const TRANSIT_MS_MAX: u64 = 30;

/// Returns when a datagram arrives that is sent now; `None` if it gets lost.
pub fn arrives_ms(random: &mut Random, now_ms: u64) -> Option<u64> {
    let is_lost = random.below(100) < LOSS_PERCENT;
    (!is_lost).then(|| now_ms + STEP_MS + random.below(TRANSIT_MS_MAX))
}

/// Returns the instances that a digest is sent to.
pub fn digest_recipients(random: &mut Random, from: usize, instances: usize) -> Vec<usize> {
    let mut peers: Vec<usize> = (0..instances).filter(|to| *to != from).collect();
    while instances > SMALL_FLEET && peers.len() > FANOUT {
        peers.swap_remove(random.index(peers.len()));
    }
    peers
}

/// Returns the instances that collect the crashes of a content: all instances in a small fleet.
pub fn collectors(content: &str, instances: usize) -> Vec<usize> {
    let mut peers: Vec<usize> = (0..instances).collect();
    if peers.len() > SMALL_FLEET {
        peers.sort_by_cached_key(|peer| stable_hash(&[content, &peer.to_string()]));
        peers.truncate(COLLECTORS);
    }
    peers
}
