//! `list_answer` hands the list of targets on to a peer, or what changed in it, and takes it in.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_targets::{Book, Listed};

use crate::gateway::Gateway;
use crate::state::{State, ToldChanges};

use super::pull_messages::{PullAnswer, PullRequest, PulledTarget};

/// Targets in one part of a list: some 80 KB, which a narrow link brings in a part of the time of a
/// pull.
const PART_TARGETS: u64 = 1_000;
/// Shortest time between two comparisons of the own list with a peer's.
const COMPARED_INTERVAL: Duration = Duration::from_secs(10);

/// Makes the request for what changed in the list; for all of it where none is known, or the own one
/// differs from a peer's. Now and then the lists are compared by a hash, which takes a look at every
/// target on both sides.
pub(super) fn request(state: &mut State, now: Duration) -> PullRequest {
    let compared_at = state.compared_at.get_or_insert(now);
    let wants_hash = now.saturating_sub(*compared_at) >= COMPARED_INTERVAL;
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

/// Makes the answer to whoever knows the list as of a version.
pub(super) fn make(gateway: &Gateway, request: &PullRequest) -> PullAnswer {
    let now = gateway.now();
    let since = request.since;
    let state = gateway.state();
    let content_hash = if request.wants_hash {
        state.book.content_hash(now)
    } else {
        None
    };
    let answer = PullAnswer {
        version: state.targets_version,
        is_around_outage: state.contact.is_around_outage(now),
        content_hash,
        ..PullAnswer::default()
    };
    let told = |listed: &Listed| told_target(&state.book, now, listed);
    let changed = state.list_changes.since(since).filter(|_| since > 0);
    let Some(changed) = changed else {
        let targets = state.book.present().map(told).collect();
        return PullAnswer { targets, ..answer };
    };
    let (there, gone): (Vec<_>, Vec<_>) = changed
        .into_iter()
        .map(|target| (target, state.book.present_entry(target)))
        .partition(|(_, entry)| entry.is_some());
    PullAnswer {
        since,
        targets: there
            .into_iter()
            .filter_map(|(_, entry)| entry.map(told))
            .collect(),
        gone: gone.into_iter().map(|(target, _)| target.clone()).collect(),
        ..answer
    }
}

fn told_target(book: &Book, now: Duration, listed: &Listed) -> PulledTarget {
    PulledTarget {
        target: listed.target.clone(),
        started_at_unix_ms: listed.incarnation,
        service: listed.service.clone(),
        address: listed.address.to_string(),
        data_centre: listed.data_centre.clone(),
        slots_requests: listed.slots_requests,
        is_ready: listed.is_ready,
        cold_for_ms: unix_ms(book.cold_for(now, &listed.target)),
    }
}

fn heard_target(book: &Book, pulled: PulledTarget) -> Option<Listed> {
    Some(Listed {
        // A peer of an older version does not tell incarnations. Taken for unstated, its whole list
        // would be refused during an upgrade of the fleet.
        incarnation: pulled
            .started_at_unix_ms
            .or_else(|| book.newest(&pulled.target)),
        target: pulled.target,
        service: pulled.service,
        address: pulled.address.parse().ok()?,
        data_centre: pulled.data_centre,
        slots_requests: pulled.slots_requests,
        is_ready: pulled.is_ready,
        cold_for: Duration::from_millis(pulled.cold_for_ms),
    })
}

/// Takes in what a peer handed on.
pub(super) fn take(gateway: &Gateway, answer: PullAnswer, source: &str) {
    let now = gateway.now();
    let mut state = gateway.state();
    let is_whole = answer.since == 0;
    let is_older = answer.version < state.targets_version;
    let is_repair = is_whole && state.wants_whole_list;
    let is_known = answer.version == state.targets_version && !is_repair;
    // What changed since a version that is not known here would leave a gap.
    if is_older || is_known || answer.since > state.targets_version {
        return;
    }
    let pulled = answer.targets.into_iter();
    let listed: Vec<Listed> = pulled
        .filter_map(|pulled| heard_target(&state.book, pulled))
        .collect();
    // Entries that lapsed in an outage are waited for here as where the list was read. An instance
    // that goes by its peers may have asked the store nothing meanwhile, and know of no outage.
    let is_around_outage = answer.is_around_outage || state.contact.is_around_outage(now);
    if is_whole {
        let all = listed.into_iter().map(Ok).collect();
        state.take_list(now, answer.version, all, is_around_outage);
        state.wants_whole_list = false;
    } else {
        let gone = answer.gone;
        let changes = ToldChanges { listed, gone };
        state.take_list_changes(now, answer.version, changes, is_around_outage);
        note_difference(&mut state, now, answer.content_hash);
    }
    drop(state);
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

/// Has the whole list pulled next where the own one differs from the peer's although their versions
/// agree: a change was lost on the way.
fn note_difference(state: &mut State, now: Duration, told: Option<u64>) {
    let Some(told) = told else {
        return;
    };
    let own = state.book.content_hash(now);
    state.wants_whole_list |= own.is_some_and(|own| own != told);
}
