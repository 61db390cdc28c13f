//! Selection of the peers that a message is sent to.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::Peers;
use crate::state::State;

/// Number of randomly chosen peers that a digest is sent to in fleets with more peers than that.
const DIGEST_FANOUT: usize = 10;
/// The same when the load of bulk prompts at this instance has risen. Peers otherwise learn of it
/// after three seconds on average, in which a burst queues at the few targets set apart before.
const ANNOUNCEMENT_FANOUT: usize = 64;

impl Peers {
    /// Returns the addresses of the peers that a digest is sent to. In a small fleet these are all
    /// peers. In a large fleet they are a random subset, except that the instances that watch the
    /// store and write for others send to all, and that an instance whose load concerns the
    /// rotation of the others also sends to its data centre.
    pub(super) fn digest_recipients(&self) -> Vec<SocketAddr> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let mut state = gateway.state();
        let mut known = self.known_peers(&state);
        if known.is_empty() {
            known.extend(&gateway.options.seeds);
            known.remove(&gateway.options.peers_address);
        }
        let mut addresses: Vec<SocketAddr> = known.iter().copied().collect();
        let is_to_all = state.must_send_to_all(now);
        let has_risen = std::mem::take(&mut state.has_bulk_load_risen);
        let fanout = if has_risen {
            ANNOUNCEMENT_FANOUT
        } else {
            DIGEST_FANOUT
        };
        while !is_to_all && addresses.len() > fanout {
            let index = state.random.index(addresses.len());
            addresses.swap_remove(index);
        }
        if state.load_sharing.must_report(now) {
            let neighbours = state.members_of_data_centre();
            addresses.extend(neighbours.filter(|address| known.contains(address)));
            addresses.sort_unstable();
            addresses.dedup();
        }
        addresses
    }

    /// Returns the addresses of all peers that the ledger lists or that were discovered through
    /// gossip.
    pub(super) fn all_peers(&self) -> BTreeSet<SocketAddr> {
        self.known_peers(&self.gateway.state())
    }

    fn known_peers(&self, state: &State) -> BTreeSet<SocketAddr> {
        let mut known = listed_addresses(state);
        known.extend(state.members.values().map(|member| member.address));
        known.remove(&self.gateway.options.peers_address);
        known
    }

    /// Returns the addresses of the other instances that write to the ledger: all of a small fleet,
    /// and none in a large fleet, where a writer does not send its changes to peers.
    pub(super) fn other_writers(&self) -> BTreeSet<SocketAddr> {
        let state = self.gateway.state();
        if state.is_large_fleet() {
            return BTreeSet::new();
        }
        let mut writers = listed_addresses(&state);
        writers.remove(&self.gateway.options.peers_address);
        writers
    }
}

fn listed_addresses(state: &State) -> BTreeSet<SocketAddr> {
    let holders = state.holder.ledger().holders.values();
    holders
        .filter_map(|holder| holder.address.parse().ok())
        .collect()
}
