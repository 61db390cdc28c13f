//! Peers that reach a target.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_targets::TargetPath;

use super::State;
use crate::member::Member;

/// Age past which a peer's digest no longer shows that it serves and reaches the targets. An
/// instance of a large fleet gets a digest of each peer every few seconds.
const DIGEST_AGE_MAX: Duration = Duration::from_secs(6);
/// Peers that are asked for one connection: a near one, and two that are less likely to have lost
/// the same paths.
const PEERS_MAX: usize = 3;

impl State {
    /// Returns the peers to ask for a tunnel to a target of a service, in the order in which to ask
    /// them. The first is of this data centre unless most peers there are partitioned from the
    /// service too, which would leave all tunnels to the few others. The next ones are of other data
    /// centres, since whatever cuts this instance off may cut its neighbours off as well.
    pub fn tunnel_peers(&mut self, now: Duration, service: &str) -> Vec<SocketAddr> {
        let own = &self.own_candidate.data_centre;
        let members = self.members.values();
        let serving = members.filter(|member| {
            let is_fresh = now.saturating_sub(member.received_at) < DIGEST_AGE_MAX;
            is_fresh && !member.is_reported && !member.is_stopping
        });
        let (reaching, partitioned): (Vec<&Member>, Vec<&Member>) =
            serving.partition(|member| !member.partitioned_services.contains(service));
        let is_near = |member: &&&Member| member.data_centre == *own;
        let prefers_near =
            reaching.iter().filter(is_near).count() > partitioned.iter().filter(is_near).count();
        let mut peers: Vec<(bool, bool, u64, bool, SocketAddr)> = reaching
            .iter()
            .map(|member| {
                let load = member.load.as_ref();
                let is_busy = load.is_some_and(|load| !load.is_in_rotation);
                let has_failed = self.reach.is_failed_peer(now, service, member.address);
                let is_near = member.data_centre == *own;
                let draw = self.random.next_u64();
                (has_failed, is_busy, draw, is_near, member.address)
            })
            .collect();
        peers.sort_unstable();
        let is_usable_neighbour = |(has_failed, _, _, is_near, _): &(bool, _, _, bool, _)| {
            prefers_near && *is_near && !has_failed
        };
        let near = peers.iter().position(is_usable_neighbour);
        let near = near.map(|index| peers.remove(index));
        // Without other data centres, neighbours are asked next.
        peers.sort_by_key(|(has_failed, _, _, is_near, _)| {
            (*has_failed, near.is_some() && *is_near)
        });
        let peers = near.into_iter().chain(peers);
        peers
            .map(|(_, _, _, _, address)| address)
            .take(PEERS_MAX)
            .collect()
    }

    /// Returns whether connections through a peer may be used: it is known and not stopping.
    #[must_use]
    pub fn is_tunnel_peer(&self, address: SocketAddr) -> bool {
        let mut members = self.members.values();
        members.any(|member| member.address == address && !member.is_stopping)
    }

    /// Returns whether this instance reaches a target itself, as far as it knows.
    #[must_use]
    pub fn reaches(&self, now: Duration, identity: &TargetIdentity) -> bool {
        let listed = self.target_table.present_entry(&identity.target);
        listed.is_some_and(|listed| {
            let path = self.reach.path(now, &listed.service, &identity.target);
            path == TargetPath::Direct
        })
    }
}
