//! Which targets an instance does not reach itself although peers do.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use crate::target_path::TargetPath;

/// Targets of a service that must be reached by peers only before the instance counts as
/// partitioned from all of them. A single one may have a link of its own that is down.
const PARTITION_TARGETS_MIN: usize = 2;
/// Interval between two attempts to reach a target directly again.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a target that was reached only by a peer is tried directly again if no attempt
/// was made.
const LOST_MEMORY: Duration = Duration::from_secs(30);
/// Time for which the answer of peers that do not reach a target either is reused.
const UNREACHED_MEMORY: Duration = Duration::from_secs(1);
/// Time for which a peer that did not reach a target that another one reached is asked last.
const FAILED_PEER_MEMORY: Duration = Duration::from_secs(2);
/// Interval between two checks of a service whose targets are all silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// What an instance knows of its own paths to the targets of one service.
#[derive(Debug, Clone, Default)]
struct ServiceReach {
    /// Targets that only a peer reached, with the time of the evidence.
    lost: BTreeMap<TargetId, Duration>,
    /// Targets that neither this instance nor a peer reached, with the time of the evidence and
    /// whether the target refused the peer.
    unreached: BTreeMap<TargetId, (Duration, bool)>,
    /// Peers that did not reach a target that another peer reached, with the time of the evidence.
    failed_peers: BTreeMap<SocketAddr, Duration>,
    /// Last direct attempts to targets that were lost.
    probed_at: BTreeMap<TargetId, Duration>,
    /// When a direct connection was last made.
    connected_at: Duration,
    /// When bytes last arrived on a direct connection.
    received_at: Duration,
    /// When the silence of all targets was last checked.
    checked_at: Option<Duration>,
    /// Whether the instance counts as partitioned from all targets.
    is_partitioned: bool,
}

/// Which targets an instance does not reach itself although peers do.
///
/// A failed connection alone does not tell whether the target has ended or the path is lost. Only
/// the result of a peer, whose path is another one, distinguishes the two.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    services: BTreeMap<ServiceId, ServiceReach>,
}

impl Reach {
    /// Returns the path that a new connection to a target should take.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{Reach, TargetPath};
    /// let mut reach = Reach::default();
    /// let now = Duration::from_secs(1);
    /// assert_eq!(reach.path(now, "s", "t0"), TargetPath::Direct);
    /// reach.note_lost(now, "s", "t0");
    /// assert_eq!(reach.path(now, "s", "t0"), TargetPath::ThroughPeer);
    /// assert_eq!(reach.path(now, "s", "t1"), TargetPath::Direct);
    /// reach.note_lost(now, "s", "t1");
    /// assert_eq!(reach.path(now, "s", "t2"), TargetPath::ThroughPeer);
    /// ```
    #[must_use]
    pub fn path(&self, now: Duration, service: &str, target: &str) -> TargetPath {
        let Some(reach) = self.services.get(service) else {
            return TargetPath::Direct;
        };
        let is_lost = |at: &Duration| now.saturating_sub(*at) < LOST_MEMORY;
        if reach.is_partitioned || reach.lost.get(target).is_some_and(is_lost) {
            TargetPath::ThroughPeer
        } else {
            TargetPath::Direct
        }
    }

    /// Records a direct connection to a target; returns whether that ends a partition from all
    /// targets of the service.
    pub fn note_connected(&mut self, now: Duration, service: &str, target: &str) -> bool {
        let reach = self.entry(service);
        reach.connected_at = now;
        reach.received_at = now;
        reach.unreached.remove(target);
        if reach.lost.remove(target).is_none() && !reach.is_partitioned {
            return false;
        }
        // The paths to the other targets may be back too.
        reach.probed_at.clear();
        std::mem::take(&mut reach.is_partitioned)
    }

    /// Records that a peer reached a target that this instance did not; returns whether the
    /// instance counts as partitioned from all targets of the service from now on.
    pub fn note_lost(&mut self, now: Duration, service: &str, target: &str) -> bool {
        let reach = self.entry(service);
        reach.unreached.remove(target);
        reach
            .lost
            .retain(|_, at| now.saturating_sub(*at) < LOST_MEMORY);
        reach.lost.insert(target.to_owned(), now);
        let connected_at = reach.connected_at;
        let is_since = |at: &&Duration| **at > connected_at;
        let lost = reach.lost.values().filter(is_since).count();
        let was_partitioned = reach.is_partitioned;
        reach.is_partitioned |= lost >= PARTITION_TARGETS_MIN;
        reach.is_partitioned && !was_partitioned
    }

    /// Records that neither this instance nor a peer reached a target, and whether the target
    /// refused the peer's connection.
    pub fn note_unreached(&mut self, now: Duration, service: &str, target: &str, refused: bool) {
        let unreached = &mut self.entry(service).unreached;
        unreached.retain(|_, (at, _)| now.saturating_sub(*at) < UNREACHED_MEMORY);
        unreached.insert(target.to_owned(), (now, refused));
    }

    /// Returns whether a target refused the connection of a peer that did not reach it just before;
    /// `None` if peers are to be asked again.
    #[must_use]
    pub fn refused_peer(&self, now: Duration, service: &str, target: &str) -> Option<bool> {
        let (at, refused) = self.services.get(service)?.unreached.get(target)?;
        (now.saturating_sub(*at) < UNREACHED_MEMORY).then_some(*refused)
    }

    /// Records that a peer did not reach a target that another peer reached.
    pub fn note_failed_peer(&mut self, now: Duration, service: &str, peer: SocketAddr) {
        let failed = &mut self.entry(service).failed_peers;
        failed.retain(|_, at| now.saturating_sub(*at) < FAILED_PEER_MEMORY);
        failed.insert(peer, now);
    }

    /// Tells whether a peer lately did not reach a target that another peer reached.
    #[must_use]
    pub fn is_failed_peer(&self, now: Duration, service: &str, peer: SocketAddr) -> bool {
        let failed_at = self
            .services
            .get(service)
            .and_then(|reach| reach.failed_peers.get(&peer));
        failed_at.is_some_and(|at| now.saturating_sub(*at) < FAILED_PEER_MEMORY)
    }

    /// Returns whether a target that is reached through a peer is to be tried directly now, beside
    /// the calls.
    pub fn take_probe(&mut self, now: Duration, service: &str, target: &str) -> bool {
        let reach = self.entry(service);
        reach
            .probed_at
            .retain(|_, at| now.saturating_sub(*at) < PROBE_INTERVAL);
        let is_due = !reach.probed_at.contains_key(target);
        if is_due {
            reach.probed_at.insert(target.to_owned(), now);
        }
        is_due
    }

    /// Records that bytes arrived from a target on a direct connection.
    pub fn note_received(&mut self, now: Duration, service: &str) {
        match self.services.get_mut(service) {
            Some(reach) => reach.received_at = now,
            None => self.entry(service).received_at = now,
        }
    }

    /// Returns whether a call that was sent directly at `sent_at` and is not answered yet calls for
    /// a check of the path: nothing has arrived from any target of the service since.
    pub fn take_silence_check(&mut self, now: Duration, service: &str, sent_at: Duration) -> bool {
        let reach = self.entry(service);
        let is_checked = |at: Duration| now.saturating_sub(at) < SILENCE_CHECK_INTERVAL;
        if reach.received_at >= sent_at || reach.checked_at.is_some_and(is_checked) {
            return false;
        }
        reach.checked_at = Some(now);
        true
    }

    /// Returns the services from whose targets this instance is partitioned.
    pub fn partitioned_services(&self) -> impl Iterator<Item = &ServiceId> {
        let services = self.services.iter();
        let partitioned = services.filter(|(_, reach)| reach.is_partitioned);
        partitioned.map(|(service, _)| service)
    }

    /// Drops services that no longer exist.
    pub fn retain_services(&mut self, exists: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| exists(service));
    }

    fn entry(&mut self, service: &str) -> &mut ServiceReach {
        self.services.entry(service.to_owned()).or_default()
    }
}
