//! `roles` tells which instances of a large fleet watch the store and write for the others.

use std::cmp::Reverse;
use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;
use damaskstile_core::time::unix_ms;

use super::State;
use crate::member::Member;
use crate::peers::{Digest, PeerWord};

/// Instances of a large fleet that watch the store and tell all others: one writes, and two more
/// are there should it fail.
const WATCHERS_MAX: usize = 3;

/// Age past which what a peer says of the store is no longer taken for news: three digests and a
/// call to the store.
const TOLD_AGE_MAX: Duration = Duration::from_millis(1_800);

/// Time that an instance of a large fleet leaves each better suited one to take a role that nobody
/// has: some ten begin to before all have heard of the first.
const TURN: Duration = Duration::from_millis(15);
/// Instances that are waited for so. All these turns, with [`TOLD_AGE_MAX`], are a part of the time
/// within which a change must be in force.
const TURNS_MAX: u32 = 100;

/// Instances that ask for signs of life in an outage, as far as each hears. Each hears a part of
/// the others, so there are some more, in every part of the fleet that hears itself.
const SCOUTS_MAX: usize = 3;

/// Age past which a peer is not counted among those that find out when an outage is over. With ten
/// digests a peer in 0.4 s, an instance hears a hundred of three hundred within it.
const SCOUT_AGE_MAX: Duration = Duration::from_secs(5);

impl State {
    /// Tells whether the fleet is so large that some instances watch and write for the others.
    #[must_use]
    pub fn is_large_fleet(&self) -> bool {
        // At the first start an instance knows only some peers, and those know the others.
        let mut told = self.members.values().map(|member| member.known_instances);
        self.known_instances() > self.small_fleet || told.any(|known| known > self.small_fleet)
    }

    /// Returns the number of instances that this one knows of, itself among them.
    #[must_use]
    pub fn known_instances(&self) -> u64 {
        self.heard_instances().max(self.holder.instances())
    }

    /// Tells whether this instance watches the store for others: all of a small fleet do, and of
    /// a large one those to which few better ones are in touch with the store.
    #[must_use]
    pub fn is_watcher(&self, now: Duration) -> bool {
        if !self.is_large_fleet() {
            return true;
        }
        let is_free = self.better_members(now).count() < WATCHERS_MAX;
        is_free && now >= self.uncovered_at(now) + self.turn(now)
    }

    /// Returns when too few better suited instances were left that are in touch with the store, or
    /// when the store answered this one again.
    fn uncovered_at(&self, now: Duration) -> Duration {
        let mut ends: Vec<Duration> = self
            .better_ranked()
            .filter(|(_, member)| !member.is_told)
            .filter_map(|(_, member)| {
                Some(member.heard_at + TOLD_AGE_MAX.checked_sub(member.store_age)?)
            })
            .collect();
        ends.sort_unstable_by_key(|end| Reverse(*end));
        let covered_until = ends.get(WATCHERS_MAX - 1).copied().unwrap_or_default();
        let regained_at = self.contact.regained_at().unwrap_or_default();
        covered_until.min(now).max(regained_at)
    }

    /// Returns how long this instance waits for better ones to take a role that nobody has: the
    /// longer the more of them there are. If all took it at once, hundreds of lists would keep the
    /// store from answering any.
    fn turn(&self, now: Duration) -> Duration {
        let better = self.better_present(now);
        if better < WATCHERS_MAX {
            return Duration::ZERO;
        }
        let turns = u32::try_from(better).unwrap_or(u32::MAX);
        TURN * turns.min(TURNS_MAX)
    }

    fn better_ranked(&self) -> impl Iterator<Item = (&InstanceId, &Member)> {
        let own_rank = rank(&self.instance, self.capacity_percent);
        let members = self.members.iter();
        members.filter(move |(name, member)| rank(name, member.capacity_percent) < own_rank)
    }

    /// Counts the better suited instances that were heard of lately, in touch with the store or not.
    fn better_present(&self, now: Duration) -> usize {
        let present = self.better_ranked().filter(|(_, member)| {
            let is_there = now.saturating_sub(member.heard_at) < SCOUT_AGE_MAX;
            is_there && !member.is_stopping
        });
        present.count()
    }

    /// Tells whether this instance's news go to all peers: in a small fleet, and from an instance
    /// that watches the store for others and is in touch with it. While a whole fleet is cut off
    /// from the store nobody outranks anybody; if all told all, digests would fill narrow links,
    /// and what matters would be lost among them.
    #[must_use]
    pub fn must_tell_all(&self, now: Duration) -> bool {
        let is_in_touch = self.contact.age(now).is_some_and(|age| age < TOLD_AGE_MAX);
        !self.is_large_fleet() || (is_in_touch && self.is_watcher(now))
    }

    /// Returns the peer that writes to the ledger for this instance; `None` where it writes
    /// itself.
    #[must_use]
    pub fn writer(&self, now: Duration) -> Option<(&InstanceId, SocketAddr)> {
        if !self.is_large_fleet() {
            return None;
        }
        self.better_members(now)
            .min_by_key(|(name, member)| rank(name, member.capacity_percent))
            .map(|(name, member)| (name, member.address))
    }

    /// Returns the peers that are in touch with the store and better suited to write than this
    /// instance.
    fn better_members(&self, now: Duration) -> impl Iterator<Item = (&InstanceId, &Member)> {
        let own_rank = rank(&self.instance, self.capacity_percent);
        let is_own_lost = self.contact.age(now).is_none_or(|age| age > TOLD_AGE_MAX);
        self.members
            .iter()
            .filter(move |(_, member)| {
                let age = now.saturating_sub(member.heard_at) + member.store_age;
                age < TOLD_AGE_MAX && !member.is_stopping
            })
            .filter(move |(name, member)| {
                is_own_lost || self.is_stopping || rank(name, member.capacity_percent) < own_rank
            })
    }

    /// Tells whether this instance may call the store for more than a sign of life: always in a
    /// small fleet, and in a large one while the store is known to answer, this instance or a peer.
    ///
    /// Hundreds that find out by themselves that the store is out of reach, and then list everything
    /// again and again, cost thousands of calls in vain, and those that the store takes when it is
    /// back keep each other from being answered.
    #[must_use]
    pub fn may_call_store(&self, now: Duration) -> bool {
        if !self.is_large_fleet() {
            return true;
        }
        // At its start an instance has asked nobody yet.
        let is_answered_lately = self.contact.age(now).is_none_or(|age| age < TOLD_AGE_MAX);
        let is_told = self.better_members(now).next().is_some();
        !self.contact.is_lost() && (is_answered_lately || is_told)
    }

    /// Tells whether this instance is among the few that find out when an outage is over: those
    /// that hear of few that rank better. Which ones are in touch does not count, since nobody is.
    #[must_use]
    pub fn is_scout(&self, now: Duration) -> bool {
        !self.is_large_fleet() || self.better_present(now) < SCOUTS_MAX
    }

    /// Returns the peer that writes for this instance, as others should know it; `None` where it
    /// writes itself, which its own digest tells.
    #[must_use]
    pub fn best_in_touch(&self, now: Duration) -> Option<PeerWord> {
        let (name, _) = self.writer(now)?;
        let member = self.members.get(name)?;
        let store_age = now.saturating_sub(member.heard_at) + member.store_age;
        Some(PeerWord {
            instance: name.clone(),
            incarnation: member.incarnation,
            address: member.address.to_string(),
            data_centre: member.data_centre.clone(),
            capacity_percent: member.capacity_percent,
            store_age_ms: unix_ms(store_age),
            heard_age_ms: 0,
        })
    }

    /// Takes in what a peer says of the best writer, where it is news.
    pub fn hear_of(&mut self, now: Duration, word: &PeerWord) {
        let Ok(address) = word.address.parse() else {
            return;
        };
        let store_age = Duration::from_millis(word.store_age_ms);
        let known = self.members.get(&word.instance);
        let is_known = known.is_some_and(|member| {
            now.saturating_sub(member.heard_at) + member.store_age <= store_age
        });
        if is_known || word.instance == self.instance || store_age >= TOLD_AGE_MAX {
            return;
        }
        let digest = Digest {
            data_centre: word.data_centre.clone(),
            capacity_percent: word.capacity_percent,
            store_age_ms: word.store_age_ms,
            is_watcher: true,
            ..Digest::default()
        };
        let member = Member::new(word.incarnation, address, now, &digest);
        self.members.insert(word.instance.clone(), member);
    }

    /// Tells whether most of the peers heard lately are being stopped, so that a caller who comes
    /// back at once would most likely meet another that refuses it.
    #[must_use]
    pub fn are_most_peers_stopping(&self, now: Duration) -> bool {
        let heard = self
            .members
            .values()
            .filter(|member| !member.is_told)
            .filter(|member| now.saturating_sub(member.heard_at) < TOLD_AGE_MAX);
        let (stopping, serving): (Vec<_>, Vec<_>) = heard.partition(|member| member.is_stopping);
        stopping.len() > serving.len()
    }

    /// Tells whether this instance must watch the store itself: it does so for others, or it has
    /// not heard lately from a peer that does and that the store answers.
    #[must_use]
    pub fn must_watch(&self, now: Duration) -> bool {
        if self.is_watcher(now) {
            return true;
        }
        let watchers = self.members.values().filter(|member| member.is_watcher);
        let told_until = watchers
            .filter_map(|member| {
                Some(member.heard_at + TOLD_AGE_MAX.checked_sub(member.store_age)?)
            })
            .max()
            .unwrap_or_default();
        let regained_at = self.contact.regained_at().unwrap_or_default();
        now >= told_until.max(regained_at) + self.turn(now)
    }
}

/// Returns the rank of an instance among those that may write for others; the least is the best.
/// Instances with more processor time come first, since one of them carries the writes of all.
fn rank(instance: &str, capacity_percent: u64) -> (Reverse<u64>, u64) {
    (
        Reverse(capacity_percent),
        stable_hash(&["writer", instance]),
    )
}
