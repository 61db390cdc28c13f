//! Roles in a large fleet: which instances watch the store and write to the ledger for the others.

use std::cmp::Reverse;
use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;
use damaskstile_core::time::unix_ms;

use super::State;
use crate::member::Member;
use crate::peers::{Digest, PeerReport};

/// Number of instances of a large fleet that watch the store and notify all others: one writes, and
/// two more stand by in case it fails.
const WATCHERS_MAX: usize = 3;

/// Age past which a peer's report of contact with the store no longer counts: three digests and a
/// call to the store.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_800);

/// Delay for each better-ranked instance before an instance of a large fleet takes over a vacant
/// role. Some ten instances start to take it before the first one's digest has reached all.
const TAKEOVER_DELAY: Duration = Duration::from_millis(15);
/// Limit on the better-ranked instances that are waited for. All these delays together with
/// [`REPORT_AGE_MAX`] fit well within the time limit for a change to take effect.
const TAKEOVER_DELAYS_MAX: u32 = 100;

/// Number of instances that probe the store during an outage, as seen by each instance. Each knows
/// only a part of the others, so the actual number is somewhat higher, and every partition of the
/// fleet has its own.
const OUTAGE_PROBERS_MAX: usize = 3;

/// Age past which a peer is not counted among the outage probers. At ten digests per instance in
/// 0.4 s, an instance receives digests from a hundred of three hundred peers within this time.
const PROBER_AGE_MAX: Duration = Duration::from_secs(5);

impl State {
    /// Returns whether the fleet is so large that some instances watch and write for the others.
    #[must_use]
    pub fn is_large_fleet(&self) -> bool {
        // At the first start an instance knows only some peers, which may know the others.
        let mut reported = self.members.values().map(|member| member.known_instances);
        self.known_instances() > self.small_fleet || reported.any(|known| known > self.small_fleet)
    }

    /// Returns the number of instances that this one knows of, itself included.
    #[must_use]
    pub fn known_instances(&self) -> u64 {
        self.discovered_instances().max(self.holder.instances())
    }

    /// Returns whether this instance watches the store for others: all of a small fleet do, and in
    /// a large one an instance does while fewer than [`WATCHERS_MAX`] better-ranked ones are in
    /// touch with the store.
    #[must_use]
    pub fn is_watcher(&self, now: Duration) -> bool {
        if !self.is_large_fleet() {
            return true;
        }
        let is_free = self.better_members(now).count() < WATCHERS_MAX;
        is_free && now >= self.vacant_since(now) + self.takeover_delay(now)
    }

    /// Returns when too few better-ranked instances in touch with the store were left, or when the
    /// store answered this one again.
    fn vacant_since(&self, now: Duration) -> Duration {
        let mut ends: Vec<Duration> = self
            .better_ranked()
            .filter(|(_, member)| !member.is_reported)
            .filter_map(|(_, member)| {
                Some(member.received_at + REPORT_AGE_MAX.checked_sub(member.store_age)?)
            })
            .collect();
        ends.sort_unstable_by_key(|end| Reverse(*end));
        let covered_until = ends.get(WATCHERS_MAX - 1).copied().unwrap_or_default();
        let regained_at = self.contact.regained_at().unwrap_or_default();
        covered_until.min(now).max(regained_at)
    }

    /// Returns how long this instance waits for better-ranked ones to take a vacant role. The delay
    /// grows with their number: if all took the role at the same time, hundreds of list calls would
    /// keep the store from answering any.
    fn takeover_delay(&self, now: Duration) -> Duration {
        let better = self.better_present(now);
        if better < WATCHERS_MAX {
            return Duration::ZERO;
        }
        let turns = u32::try_from(better).unwrap_or(u32::MAX);
        TAKEOVER_DELAY * turns.min(TAKEOVER_DELAYS_MAX)
    }

    fn better_ranked(&self) -> impl Iterator<Item = (&InstanceId, &Member)> {
        let own_rank = rank(&self.instance, self.capacity_percent);
        let members = self.members.iter();
        members.filter(move |(name, member)| rank(name, member.capacity_percent) < own_rank)
    }

    /// Counts the better-ranked instances with a recent digest or report, in touch with the store
    /// or not.
    fn better_present(&self, now: Duration) -> usize {
        let present = self.better_ranked().filter(|(_, member)| {
            let is_there = now.saturating_sub(member.received_at) < PROBER_AGE_MAX;
            is_there && !member.is_stopping
        });
        present.count()
    }

    /// Returns whether this instance sends its digests to all peers: in a small fleet, and if it
    /// watches the store for others and is in touch with it. While a whole fleet is cut off from
    /// the store, no instance outranks another; if all sent to all, digests would fill slow links
    /// and displace important messages.
    #[must_use]
    pub fn must_send_to_all(&self, now: Duration) -> bool {
        let is_in_touch = self
            .contact
            .age(now)
            .is_some_and(|age| age < REPORT_AGE_MAX);
        !self.is_large_fleet() || (is_in_touch && self.is_watcher(now))
    }

    /// Returns the peer that writes to the ledger for this instance; `None` if this instance writes
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
        let is_own_lost = self.contact.age(now).is_none_or(|age| age > REPORT_AGE_MAX);
        self.members
            .iter()
            .filter(move |(_, member)| {
                let age = now.saturating_sub(member.received_at) + member.store_age;
                age < REPORT_AGE_MAX && !member.is_stopping
            })
            .filter(move |(name, member)| {
                is_own_lost || self.is_stopping || rank(name, member.capacity_percent) < own_rank
            })
    }

    /// Returns whether this instance may call the store for more than a probe: always in a small
    /// fleet, and in a large one while the store is known to answer this instance or a peer.
    ///
    /// If hundreds of instances detected an outage independently and listed everything repeatedly,
    /// they would make thousands of useless calls, and the calls that the store accepts on its
    /// return would delay each other's answers.
    #[must_use]
    pub fn may_call_store(&self, now: Duration) -> bool {
        if !self.is_large_fleet() {
            return true;
        }
        // An instance that has just started has made no call yet.
        let is_answered_lately = self.contact.age(now).is_none_or(|age| age < REPORT_AGE_MAX);
        let is_peer_answered = self.better_members(now).next().is_some();
        !self.contact.is_lost() && (is_answered_lately || is_peer_answered)
    }

    /// Returns whether this instance is one of the outage probers: those that receive digests from
    /// few better-ranked instances. Contact with the store does not count, as no instance has any.
    #[must_use]
    pub fn is_outage_prober(&self, now: Duration) -> bool {
        !self.is_large_fleet() || self.better_present(now) < OUTAGE_PROBERS_MAX
    }

    /// Returns a report of the peer that writes for this instance, to be included in digests;
    /// `None` if this instance writes itself, which its digest shows.
    #[must_use]
    pub fn writer_report(&self, now: Duration) -> Option<PeerReport> {
        let (name, _) = self.writer(now)?;
        let member = self.members.get(name)?;
        let store_age = now.saturating_sub(member.received_at) + member.store_age;
        Some(PeerReport {
            instance: name.clone(),
            incarnation: member.incarnation,
            address: member.address.to_string(),
            data_centre: member.data_centre.clone(),
            capacity_percent: member.capacity_percent,
            store_age_ms: unix_ms(store_age),
            received_age_ms: 0,
        })
    }

    /// Applies a peer's report of the best writer if it is newer than what is known.
    pub fn apply_peer_report(&mut self, now: Duration, report: &PeerReport) {
        let Ok(address) = report.address.parse() else {
            return;
        };
        let store_age = Duration::from_millis(report.store_age_ms);
        let known = self.members.get(&report.instance);
        let is_known = known.is_some_and(|member| {
            now.saturating_sub(member.received_at) + member.store_age <= store_age
        });
        if is_known || report.instance == self.instance || store_age >= REPORT_AGE_MAX {
            return;
        }
        let digest = Digest {
            data_centre: report.data_centre.clone(),
            capacity_percent: report.capacity_percent,
            store_age_ms: report.store_age_ms,
            is_watcher: true,
            ..Digest::default()
        };
        let mut member = Member::new(report.incarnation, address, now, &digest);
        // The report does not include the load, so what the peer itself last reported is kept.
        let same_run = known.filter(|known| known.incarnation == report.incarnation);
        member.load = same_run.and_then(|known| known.load.clone());
        self.members.insert(report.instance.clone(), member);
    }

    /// Returns whether most peers with a recent digest are stopping, so that a caller that retries
    /// at once would most likely be refused again.
    #[must_use]
    pub fn are_most_peers_stopping(&self, now: Duration) -> bool {
        let recent = self
            .members
            .values()
            .filter(|member| !member.is_reported)
            .filter(|member| now.saturating_sub(member.received_at) < REPORT_AGE_MAX);
        let (stopping, serving): (Vec<_>, Vec<_>) = recent.partition(|member| member.is_stopping);
        stopping.len() > serving.len()
    }

    /// Returns whether this instance must watch the store itself: it watches for others, or it has
    /// no recent digest from a watcher that the store answers.
    #[must_use]
    pub fn must_watch(&self, now: Duration) -> bool {
        if self.is_watcher(now) {
            return true;
        }
        let watchers = self.members.values().filter(|member| member.is_watcher);
        let reported_until = watchers
            .filter_map(|member| {
                Some(member.received_at + REPORT_AGE_MAX.checked_sub(member.store_age)?)
            })
            .max()
            .unwrap_or_default();
        let regained_at = self.contact.regained_at().unwrap_or_default();
        now >= reported_until.max(regained_at) + self.takeover_delay(now)
    }
}

/// Returns the rank of an instance as a writer for others; the least is the best. Instances with
/// more processor capacity rank first because the writer carries the writes of all.
fn rank(instance: &str, capacity_percent: u64) -> (Reverse<u64>, u64) {
    (
        Reverse(capacity_percent),
        stable_hash(&["writer", instance]),
    )
}
