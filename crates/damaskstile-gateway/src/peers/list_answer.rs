//! Pulls of the list of targets between peers, whole or as the changes since a known version.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_targets::{Listed, TargetTable};

use crate::gateway::Gateway;
use crate::state::{ReportedChanges, State};

use super::pull_messages::{PullAnswer, PullRequest, PulledTarget};

/// Number of targets in one part of a list: some 80 KB, which a slow link transmits well within the
/// time limit of a pull.
const PART_TARGETS: u64 = 1_000;
/// Shortest interval between comparisons of this instance's list with a peer's.
const COMPARE_INTERVAL: Duration = Duration::from_secs(10);

/// Makes the request for the changes since the known version of the list, or for the whole list if
/// none is known or it differs from a peer's. From time to time the request also asks for a hash to
/// compare the lists, which visits every target on both sides.
pub(super) fn request(state: &mut State, now: Duration) -> PullRequest {
    let compared_at = state.compared_at.get_or_insert(now);
    let wants_hash = now.saturating_sub(*compared_at) >= COMPARE_INTERVAL;
    if wants_hash {
        *compared_at = now;
    }
    let since = if state.wants_whole_list {
        0
    } else {
        state.targets_version
    };
    PullRequest {
        is_targets: true,
        since,
        wants_hash,
        part_targets: PART_TARGETS,
        ..PullRequest::default()
    }
}

/// Makes the answer to a peer that knows the list as of the requested version.
pub(super) fn make(gateway: &Gateway, request: &PullRequest) -> PullAnswer {
    let now = gateway.now();
    let since = request.since;
    let state = gateway.state();
    let content_hash = if request.wants_hash {
        state.target_table.content_hash(now)
    } else {
        None
    };
    let answer = PullAnswer {
        version: state.targets_version,
        is_around_outage: state.contact.is_around_outage(now),
        content_hash,
        ..PullAnswer::default()
    };
    let to_pulled = |listed: &Listed| to_pulled_target(&state.target_table, now, listed);
    let changed = state.list_changes.since(since).filter(|_| since > 0);
    let Some(changed) = changed else {
        let targets = state.target_table.present().map(to_pulled).collect();
        return PullAnswer { targets, ..answer };
    };
    let (there, gone): (Vec<_>, Vec<_>) = changed
        .into_iter()
        .map(|target| (target, state.target_table.present_entry(target)))
        .partition(|(_, entry)| entry.is_some());
    PullAnswer {
        since,
        targets: there
            .into_iter()
            .filter_map(|(_, entry)| entry.map(to_pulled))
            .collect(),
        gone: gone.into_iter().map(|(target, _)| target.clone()).collect(),
        ..answer
    }
}

fn to_pulled_target(table: &TargetTable, now: Duration, listed: &Listed) -> PulledTarget {
    PulledTarget {
        target: listed.target.clone(),
        started_at_unix_ms: listed.incarnation,
        service: listed.service.clone(),
        address: listed.address.to_string(),
        data_centre: listed.data_centre.clone(),
        slots_requests: listed.slots_requests,
        is_ready: listed.is_ready,
        software_version: Some(listed.software_version.clone()),
        weights: listed.weights.iter().cloned().collect(),
        cold_for_ms: unix_ms(table.cold_for(now, &listed.target)),
    }
}

fn to_listed(table: &TargetTable, pulled: PulledTarget) -> Option<Listed> {
    // A peer of an older release does not send versions of software either.
    let known = table.present_entry(&pulled.target);
    let known_version = known.map_or_else(String::new, |listed| listed.software_version.clone());
    Some(Listed {
        // A peer of an older release does not send incarnations. If they were treated as unstated,
        // its whole list would be refused during an upgrade of the fleet.
        incarnation: pulled
            .started_at_unix_ms
            .or_else(|| table.newest(&pulled.target)),
        target: pulled.target,
        service: pulled.service,
        address: pulled.address.parse().ok()?,
        data_centre: pulled.data_centre,
        slots_requests: pulled.slots_requests,
        is_ready: pulled.is_ready,
        software_version: pulled.software_version.unwrap_or(known_version),
        weights: pulled.weights.into_iter().collect(),
        cold_for: Duration::from_millis(pulled.cold_for_ms),
    })
}

/// Applies a pulled list or its changes.
pub(super) fn apply(gateway: &Gateway, answer: PullAnswer, source: &str) {
    let now = gateway.now();
    let mut state = gateway.state();
    let is_whole = answer.since == 0;
    let is_older = answer.version < state.targets_version;
    let is_repair = is_whole && state.wants_whole_list;
    let is_known = answer.version == state.targets_version && !is_repair;
    // Changes since a version that is not yet known here would leave a gap.
    if is_older || is_known || answer.since > state.targets_version {
        return;
    }
    let pulled = answer.targets.into_iter();
    let listed: Vec<Listed> = pulled
        .filter_map(|pulled| to_listed(&state.target_table, pulled))
        .collect();
    // Entries that lapsed during an outage get the same grace period here as at the instance that
    // read the list. An instance that relies on its peers may not have called the store meanwhile
    // and may not know of the outage.
    let is_around_outage = answer.is_around_outage || state.contact.is_around_outage(now);
    if is_whole {
        let all = listed.into_iter().map(Ok).collect();
        state.apply_list(now, answer.version, all, is_around_outage);
        state.wants_whole_list = false;
    } else {
        let gone = answer.gone;
        let changes = ReportedChanges { listed, gone };
        state.apply_list_changes(now, answer.version, changes, is_around_outage);
        check_difference(&mut state, now, answer.content_hash);
    }
    drop(state);
    gateway.report_streams_soon();
    let version = answer.version.to_string();
    gateway.log(
        EventCode::CatalogueFromPeer,
        &[
            ("targets_version", &version),
            ("whole", &is_whole.to_string()),
            ("source", source),
        ],
    );
}

/// Requests the whole list with the next pull if this instance's list differs from the peer's at
/// the same version: a change was lost in transit.
fn check_difference(state: &mut State, now: Duration, reported: Option<u64>) {
    let Some(reported) = reported else {
        return;
    };
    let own = state.target_table.content_hash(now);
    state.wants_whole_list |= own.is_some_and(|own| own != reported);
}
