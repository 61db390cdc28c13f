//! `sources` says what an instance lacks that peers have, and which of them to ask for it.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::State;
use crate::member::Member;
use crate::wanted::Wanted;

/// Age past which a peer's digest says nothing of what it has.
const SOURCE_AGE_MAX: Duration = Duration::from_secs(15);

impl State {
    /// Tells whether this instance lacks what a peer told of.
    #[must_use]
    pub fn lacks(&self, wanted: Wanted) -> bool {
        match wanted {
            Wanted::Catalogue(version) => self.catalogue.version() < version,
            Wanted::Targets(version) => self.targets_version < version,
            Wanted::Members => self.lacks_members(),
        }
    }

    /// Returns a peer to pull from: any that has some of what is lacked, in the own data centre if
    /// there is one. If all pulled from the few that have all of it first, those would be busy for
    /// seconds.
    pub fn source(&mut self, now: Duration, wanted: Wanted) -> Option<SocketAddr> {
        let most = self.told_instances();
        let has_more = |member: &&Member| match wanted {
            Wanted::Catalogue(_) => member.catalogue_version > self.catalogue.version(),
            Wanted::Targets(_) => member.targets_version > self.targets_version,
            Wanted::Members => knows_most(member.heard_instances, most),
        };
        let members = self.members.values();
        let lately = members.filter(|member| now.saturating_sub(member.heard_at) < SOURCE_AGE_MAX);
        let all: Vec<&Member> = lately.filter(has_more).collect();
        let own = &self.own.data_centre;
        let near = all.iter().filter(|member| member.data_centre == *own);
        let near: Vec<SocketAddr> = near.map(|member| member.address).collect();
        let all: Vec<SocketAddr> = all.iter().map(|member| member.address).collect();
        let from = if near.is_empty() { all } else { near };
        let index = self.random.index(from.len());
        from.get(index).copied()
    }

    /// Tells whether this instance of a large fleet has heard of too few of the others, so that it
    /// should ask a peer who there is.
    #[must_use]
    pub fn lacks_members(&self) -> bool {
        self.is_large_fleet() && !knows_most(self.heard_instances(), self.told_instances())
    }

    /// Returns the number of instances that this one has heard of by name, itself among them.
    #[must_use]
    pub fn heard_instances(&self) -> u64 {
        let heard = u64::try_from(self.members.len()).unwrap_or(u64::MAX);
        heard.saturating_add(1)
    }

    /// Returns the most instances that anybody knows of.
    fn told_instances(&self) -> u64 {
        let told = self.members.values().map(|member| member.known_instances);
        told.fold(self.known_instances(), u64::max)
    }
}

/// Tells whether so many instances are most of those that there are.
fn knows_most(known: u64, instances: u64) -> bool {
    known.saturating_mul(4) >= instances.saturating_mul(3)
}
