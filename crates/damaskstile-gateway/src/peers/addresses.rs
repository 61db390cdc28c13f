//! `addresses` says which peers a message goes to.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::Peers;

/// Peers that a digest goes to. With more instances it goes to so many of them by chance.
const DIGEST_FANOUT: usize = 10;

impl Peers {
    /// Returns the addresses of the peers that a digest goes to: all of a small fleet. In a large
    /// one it goes to some by chance, and from those that hand out tokens also to all of their
    /// data centre, which must know what there is.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let gateway = &self.gateway;
        let mut state = gateway.state();
        let holders = &state.holder.ledger().holders;
        let of = |is_near: bool| -> BTreeSet<SocketAddr> {
            let own = &gateway.options.identity.data_centre;
            holders
                .values()
                .filter(|holder| (&holder.data_centre == own) == is_near)
                .filter_map(|holder| holder.address.parse().ok())
                .collect()
        };
        let (mut near, mut far) = (of(true), of(false));
        far.extend(state.members.values().map(|member| member.address));
        if near.len() + far.len() <= 1 {
            far.extend(&gateway.options.seeds);
        }
        let is_all = near.len() + far.len() <= DIGEST_FANOUT || state.holder.is_steward();
        if !is_all {
            far.append(&mut near);
        }
        let mut addresses: Vec<SocketAddr> = far.difference(&near).copied().collect();
        while addresses.len() > DIGEST_FANOUT {
            let index = state.random.index(addresses.len());
            addresses.swap_remove(index);
        }
        addresses.extend(near);
        addresses.retain(|address| *address != gateway.options.peers_address);
        addresses
    }

    /// Returns the addresses of the other instances that write to the ledger.
    pub(super) fn writers(&self) -> Vec<SocketAddr> {
        let own = self.gateway.options.peers_address;
        let addresses = self.gateway.state().holder.steward_addresses();
        addresses
            .iter()
            .filter_map(|address| address.parse().ok())
            .filter(|address| *address != own)
            .collect()
    }
}
