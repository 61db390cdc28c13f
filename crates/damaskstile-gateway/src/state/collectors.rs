//! `collectors` says which instances collect the ends of targets under one content.

use std::cmp::Reverse;
use std::net::SocketAddr;

use damaskstile_core::random::stable_hash;
use damaskstile_requests::Fingerprint;

use super::State;

/// Instances of a large fleet that collect the ends under one content. Each may be dead or miss a
/// datagram; one that has heard of enough ends tells all.
const COLLECTORS_MAX: usize = 4;

impl State {
    /// Returns the addresses of the peers that collect the ends under a content: all of a small
    /// fleet, and of a large one the same few for all instances, by a hash.
    ///
    /// The ends under one content are noticed at any instances, one each. Told to some by chance,
    /// they would meet late among the tens of contents that ran at the same targets.
    #[must_use]
    pub fn collectors(&self, content: &Fingerprint) -> Vec<SocketAddr> {
        let mut peers: Vec<_> = self.members.iter().collect();
        if self.is_large_fleet() {
            // Many contents share an outline; by it a few instances would collect for all of them.
            let content = content.to_string();
            peers.sort_by_key(|(name, _)| Reverse(stable_hash(&["collect", &content, name])));
            peers.truncate(COLLECTORS_MAX);
        }
        peers
            .into_iter()
            .map(|(_, member)| member.address)
            .collect()
    }
}
