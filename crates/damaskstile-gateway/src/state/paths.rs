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

/// A peer that may be asked for a tunnel, in the order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TunnelPeer {
    /// Whether it lately did not reach a target that another peer reached.
    has_failed: bool,
    /// Whether it is out of the balancer's rotation.
    is_busy: bool,
    /// Random order of peers that are alike.
    draw: u64,
    /// Whether it is in this instance's data centre.
    is_near: bool,
    address: SocketAddr,
}

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
        let mut peers: Vec<TunnelPeer> = reaching
            .iter()
            .map(|member| {
                let load = member.load.as_ref();
                TunnelPeer {
                    has_failed: self.reach.is_failed_peer(now, service, member.address),
                    is_busy: load.is_some_and(|load| !load.is_in_rotation),
                    draw: self.random.next_u64(),
                    is_near: member.data_centre == *own,
                    address: member.address,
                }
            })
            .collect();
        peers.sort_unstable();
        let near = peers
            .iter()
            .position(|peer| prefers_near && peer.is_near && !peer.has_failed);
        let near = near.map(|index| peers.remove(index));
        // Without other data centres, neighbours are asked next.
        peers.sort_by_key(|peer| (peer.has_failed, near.is_some() && peer.is_near));
        let peers = near.into_iter().chain(peers);
        peers.map(|peer| peer.address).take(PEERS_MAX).collect()
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
