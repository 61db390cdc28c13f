//! Whether this instance is in the load balancer's rotation, and what it reports of its load.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::State;
use crate::busiest_account::BusiestAccount;
use crate::connection_shedding::{WAIT_LIMIT, have_room};
use crate::peer_load::PeerLoad;
use crate::rotation::LEAVE_SHARE_MAX;

impl State {
    /// Updates whether this instance is in the load balancer's rotation; returns whether that
    /// changed.
    pub fn update_rotation(&mut self, now: Duration) -> bool {
        let average = self.pressure.share(now);
        let share = if self.pressure.is_strained(now) {
            average.max(LEAVE_SHARE_MAX)
        } else {
            average
        };
        let is_changed = self.load_sharing.update(now, share, &self.members);
        self.expect_borrowers(now);
        is_changed
    }

    /// Returns whether a new connection is closed unread, since calls would wait too long here and
    /// most peers have room.
    pub fn closes_connection(&mut self, now: Duration) -> bool {
        let wait = self.pressure.wait(now);
        let data_centre = &self.own_candidate.data_centre;
        let has_room = wait > WAIT_LIMIT && have_room(now, data_centre, self.members.values());
        self.connection_shedding.closes(now, wait, has_room)
    }

    /// Returns the load of this instance, to report it to peers.
    pub fn own_load(&mut self, now: Duration, is_in_rotation: bool) -> PeerLoad {
        let busiest = self.load_sharing.busiest(now);
        PeerLoad {
            at: now,
            share: self.pressure.share(now),
            is_in_rotation,
            busiest: busiest.map(|(account, share)| BusiestAccount {
                account: account.to_owned(),
                share,
                tokens_per_s: self.holder.demand_tokens_per_s(now, account),
            }),
        }
    }

    /// Returns the addresses of the other instances of the data centre.
    pub fn members_of_data_centre(&self) -> impl Iterator<Item = SocketAddr> {
        let data_centre = &self.own_candidate.data_centre;
        let members = self.members.values();
        members
            .filter(move |member| member.data_centre == *data_centre)
            .map(|member| member.address)
    }
}
