//! Processing of received digests; pulls the data that they announce and this instance lacks.

use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_core::prelude::*;

use super::pull;
use super::speed_report;
use super::{BulkLoadReport, Digest, LostRunsReport, Peers, RejectionLimitReport};
use crate::answer_signals::{log_limit, log_rejection_limit};
use crate::evacuated_list;
use crate::member::Member;
use crate::spawn_counted;
use crate::target_list::incarnation_text;
use crate::wanted::Wanted;

/// Time that this instance's own watch of the store is given before a newer catalogue is pulled
/// from a peer.
const PULL_DELAY: Duration = Duration::from_millis(80);
/// Upper bound of the random delay, in milliseconds, before a list of targets is pulled. It keeps
/// the instances of a large fleet from pulling at the same time, and lets one pull cover several
/// changes.
const PULL_JITTER_MS: u64 = 250;
/// Upper bound of that delay for an instance that knows no targets yet, in milliseconds.
const PULL_START_JITTER_MS: u64 = 40;
/// Age of the store's last answer past which a peer's list of targets is preferred.
const STORE_AGE_MAX: Duration = Duration::from_millis(700);

impl Peers {
    /// Processes a digest; returns whether its sender is new.
    pub(super) fn handle_digest(
        &self,
        from: &str,
        incarnation: u64,
        digest: &Digest,
        address: SocketAddr,
    ) -> bool {
        let gateway = &self.gateway;
        let now = gateway.now();
        let mut state = gateway.state();
        state.fleet_clock.record_reading(now, from, digest.unix_ms);
        let lacks_catalogue = digest.catalogue_version > state.catalogue.version();
        let is_store_old = state.contact.age(now).is_none_or(|age| age > STORE_AGE_MAX);
        let is_store_lost = state.contact.is_lost() && is_store_old;
        let is_peer_in_touch = Duration::from_millis(digest.store_age_ms) < STORE_AGE_MAX;
        let mut left = Vec::new();
        for target in digest.all_leaving() {
            if state.target_table.leave(now, &target) {
                left.push(target);
            }
        }
        // While this instance is in touch with the store, its own list is newer than what peers
        // report.
        let is_follower = !state.is_watcher(now);
        let uses_reported_list = is_store_lost || is_follower;
        let delisted = digest.delisted_with_versions();
        for (target, version) in delisted.into_iter().filter(|_| uses_reported_list) {
            if state.apply_delisting(now, &target, version) {
                left.push(target);
            }
        }
        let lacks_targets = (is_store_lost || is_follower)
            && is_peer_in_touch
            && digest.targets_version > state.targets_version;
        // Calls are waiting for an instance that has just started, so it delays its pull less.
        let jitter_ms = if state.targets_version == 0 {
            PULL_START_JITTER_MS
        } else {
            PULL_JITTER_MS
        };
        let pull_jitter = Duration::from_millis(state.random.below(jitter_ms));
        let is_new = state.members.insert(
            from.to_owned(),
            Member::new(incarnation, address, now, digest),
        );
        state
            .target_table
            .add_instance(from, digest.known_instances);
        state.holder.note_peer_ledger_version(digest.ledger_version);
        let has_entered = state.holder.set_store_history(digest.store_history);
        let mut limits = Vec::new();
        for (target, limit) in digest
            .limits
            .iter()
            .filter_map(|report| report.to_limit(now))
        {
            if state.target_table.apply_limit_report(now, &target, limit) {
                limits.push((target, limit));
            }
        }
        speed_report::apply_all(&mut state.target_table, now, from, &digest.speeds);
        if let Some(report) = &digest.writer {
            state.apply_peer_report(now, report);
        }
        let is_new =
            is_new.is_none_or(|member| member.incarnation != incarnation || member.is_reported);
        let lacks_members = state.lacks_members();
        drop(state);
        if digest.evacuated_version > 0 {
            let evacuated = &digest.evacuated;
            evacuated_list::apply_report(gateway, digest.evacuated_version, evacuated, from);
        }
        if has_entered {
            gateway.round_wanted.notify_one();
        }
        if is_new {
            gateway.log(EventCode::MemberJoined, &[("peer", from)]);
        }
        for (target, limit) in limits {
            log_limit(gateway, &target, limit.calls_per_s, from);
        }
        for target in left {
            let incarnation = incarnation_text(target.incarnation);
            let fields = [
                ("target", target.target.as_str()),
                ("incarnation", incarnation.as_str()),
                ("source", from),
            ];
            gateway.log(EventCode::TargetLeaving, &fields);
        }
        let mut wanted = Vec::new();
        if lacks_catalogue {
            let delay = if is_store_lost {
                Duration::ZERO
            } else if is_follower {
                pull_jitter
            } else {
                PULL_DELAY
            };
            wanted.push((Wanted::Catalogue(digest.catalogue_version), delay));
        }
        if lacks_targets {
            wanted.push((Wanted::Targets(digest.targets_version), pull_jitter));
        }
        if lacks_members {
            wanted.push((Wanted::Members, pull_jitter));
        }
        self.pull_from(address, wanted);
        is_new
    }

    /// Applies a peer's report of runs that crashed targets cut.
    pub(super) fn handle_lost_runs(&self, from: &str, lost_runs: &[LostRunsReport]) {
        let now = self.gateway.now();
        let lost_runs = lost_runs.iter();
        let lost_runs = lost_runs.filter_map(|report| report.to_lost_runs(now));
        let run_copies = &mut self.gateway.state().run_copies;
        run_copies.apply_report(now, from, lost_runs);
    }

    /// Applies a peer's reports of the rejected calls that brittle targets withstand.
    pub(super) fn handle_rejection_limits(&self, from: &str, reports: &[RejectionLimitReport]) {
        let gateway = &self.gateway;
        let now = gateway.now();
        for report in reports {
            let Some(limit) = report.to_limit(now) else {
                continue;
            };
            let has_changed = gateway
                .state()
                .target_table
                .apply_rejection_limit_report(&report.service, limit);
            if has_changed {
                log_rejection_limit(gateway, &report.service, limit.calls_per_s, from);
            }
        }
    }

    /// Applies the load of bulk prompts at the sender of a digest.
    pub(super) fn apply_bulk_loads(&self, from: &str, loads: &[BulkLoadReport]) {
        let now = self.gateway.now();
        let loads: Vec<_> = loads.iter().map(BulkLoadReport::to_rate).collect();
        let table = &mut self.gateway.state().target_table;
        table.apply_bulk_loads(now, from, &loads);
    }

    /// Pulls the data that this instance lacks from the sender of a digest, each after a delay.
    fn pull_from(&self, peer: SocketAddr, wanted: Vec<(Wanted, Duration)>) {
        for (wanted, pause) in wanted {
            let gateway = Arc::clone(&self.gateway);
            let pulling = pull::pull(Arc::clone(&gateway), peer, wanted, pause);
            spawn_counted(&gateway, "pull", pulling);
        }
    }
}
