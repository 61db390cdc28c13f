//! Selection of the instances that collect what any instance may notice: the target ends for a
//! content, or where a stream began.

use std::cmp::Reverse;
use std::net::SocketAddr;

use damaskstile_core::random::stable_hash;
use damaskstile_requests::Fingerprint;

use super::State;

/// Number of instances of a large fleet that collect the target ends for one content, or keep where
/// one stream began. Any of them may be dead or miss a datagram; a single one that knows of enough
/// ends notifies all.
const COLLECTORS_MAX: usize = 4;

impl State {
    /// Returns the addresses of the peers that collect the target ends for a content: all of a
    /// small fleet, and of a large fleet the same few for all instances, chosen by a hash.
    ///
    /// The ends under one content are noticed at arbitrary instances, one each. Sent to random
    /// peers, the reports would take long to meet among those of the tens of contents that ran at
    /// the same targets.
    #[must_use]
    pub fn collectors(&self, content: &Fingerprint) -> Vec<SocketAddr> {
        // Many contents share an outline; hashing by outline would make a few instances collect for
        // all of them.
        self.peers_by_hash("collect", &content.to_string())
    }

    /// Returns the addresses of all peers of a small fleet, and of a large one the same few for all
    /// instances, by a hash of a key.
    pub(super) fn peers_by_hash(&self, purpose: &str, key: &str) -> Vec<SocketAddr> {
        let mut peers: Vec<_> = self.members.iter().collect();
        if self.is_large_fleet() {
            peers.sort_by_cached_key(|(name, _)| Reverse(stable_hash(&[purpose, key, name])));
            peers.truncate(COLLECTORS_MAX);
        }
        peers
            .into_iter()
            .map(|(_, member)| member.address)
            .collect()
    }
}
