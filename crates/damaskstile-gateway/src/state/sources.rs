//! Selection of the data that this instance lacks and of the peer to pull it from.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::State;
use crate::member::Member;
use crate::wanted::Wanted;

/// Age past which a peer's digest no longer shows which data it has.
const SOURCE_AGE_MAX: Duration = Duration::from_secs(15);

impl State {
    /// Returns whether this instance lacks data that a peer announced.
    #[must_use]
    pub fn lacks(&self, wanted: Wanted) -> bool {
        match wanted {
            Wanted::Catalogue(version) => self.catalogue.version() < version,
            Wanted::Targets(version) => self.targets_version < version,
            Wanted::Members => self.lacks_members(),
        }
    }

    /// Returns a random peer to pull from: any that has some of the missing data, in this
    /// instance's data centre if possible. If all pulled from the few that have everything first,
    /// those would be busy for seconds.
    pub fn source(&mut self, now: Duration, wanted: Wanted) -> Option<SocketAddr> {
        let most = self.max_known_instances();
        let has_more = |member: &&Member| match wanted {
            Wanted::Catalogue(_) => member.catalogue_version > self.catalogue.version(),
            Wanted::Targets(_) => member.targets_version > self.targets_version,
            Wanted::Members => knows_most(member.discovered_instances, most),
        };
        let members = self.members.values();
        let lately =
            members.filter(|member| now.saturating_sub(member.received_at) < SOURCE_AGE_MAX);
        let all: Vec<&Member> = lately.filter(has_more).collect();
        let own = &self.own_candidate.data_centre;
        let near = all.iter().filter(|member| member.data_centre == *own);
        let near: Vec<SocketAddr> = near.map(|member| member.address).collect();
        let all: Vec<SocketAddr> = all.iter().map(|member| member.address).collect();
        let from = if near.is_empty() { all } else { near };
        let index = self.random.index(from.len());
        from.get(index).copied()
    }

    /// Returns whether this instance of a large fleet knows too few of the others by name, so that
    /// it should pull the list of members.
    #[must_use]
    pub fn lacks_members(&self) -> bool {
        self.is_large_fleet()
            && !knows_most(self.discovered_instances(), self.max_known_instances())
    }

    /// Returns the number of instances that this one knows by name, itself included.
    #[must_use]
    pub fn discovered_instances(&self) -> u64 {
        let members = u64::try_from(self.members.len()).unwrap_or(u64::MAX);
        members.saturating_add(1)
    }

    /// Returns the highest number of instances that this one or any peer knows of.
    fn max_known_instances(&self) -> u64 {
        let reported = self.members.values().map(|member| member.known_instances);
        reported.fold(self.known_instances(), u64::max)
    }
}

/// Returns whether `known` is at least three quarters of `instances`.
fn knows_most(known: u64, instances: u64) -> bool {
    known.saturating_mul(4) >= instances.saturating_mul(3)
}
