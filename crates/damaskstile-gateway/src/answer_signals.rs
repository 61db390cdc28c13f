//! Handling of what a target's answers say about the target itself.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_targets::{AdvertisedLimit, Choice};

use crate::answer::AnswerHead;
use crate::gateway::Gateway;
use crate::handling::Handling;
use crate::running::Running;
use crate::target_list::incarnation_text;

/// Random extra backoff, as a fraction of the requested one (one in this many).
const BACKOFF_SPREAD_PART: u32 = 5;
/// Longest backoff to which that fraction is applied.
const BACKOFF_SPREAD_BASE_MAX: Duration = Duration::from_secs(10);

/// Handles what the target says about itself in the head of an answer. `is_own` tells whether the
/// answer belongs to this call; otherwise it is a late one to an earlier call.
pub(crate) fn handle_head(
    gateway: &Gateway,
    service: &str,
    head: &AnswerHead,
    running: &Running,
    is_own: bool,
) {
    let choice = &running.choice;
    // The answer is from another target at the same address.
    if head.handling == Handling::Misdirected {
        return;
    }
    if head.is_leaving {
        handle_leaving(gateway, choice);
    }
    if let Some(backoff) = head.backoff.filter(|backoff| !backoff.is_zero()) {
        handle_backoff(gateway, choice, backoff);
    }
    // A late answer without an advertised limit does not mean that there is none now.
    if is_own || head.advertised_limit != AdvertisedLimit::Absent {
        handle_limit(gateway, choice, running.sent_at(), head.advertised_limit);
    }
    if is_own || head.rejection_limit != AdvertisedLimit::Absent {
        handle_rejection_limit(gateway, service, running.sent_at(), head.rejection_limit);
    }
}

/// Handles a target's announcement that it is leaving.
///
/// The target may be unable to reach the store for long, in which case neither the list nor peers
/// report it. The announcement is about the process at the other end of the connection, so any
/// answer on it counts, even a rejection or one to another call. It counts as soon as the head
/// arrives: calls sent while a long stream continues would reach a target that has left.
fn handle_leaving(gateway: &Gateway, choice: &Choice) {
    let target = choice.identity();
    let now = gateway.now();
    if gateway.state().target_table.leave(now, &target) {
        let incarnation = incarnation_text(target.incarnation);
        let fields = [
            ("target", target.target.as_str()),
            ("incarnation", incarnation.as_str()),
            ("source", "answer"),
        ];
        gateway.log(EventCode::TargetLeaving, &fields);
        gateway.gossip_wanted.notify_one();
    }
}

/// Handles a target's request for backoff.
///
/// Calls sent during the backoff would be rejected after a round trip each, and keep a target busy
/// that has no capacity. A random extra time spreads the return of instances that got the same
/// request at the same moment.
fn handle_backoff(gateway: &Gateway, choice: &Choice, backoff: Duration) {
    let now = gateway.now();
    let mut state = gateway.state();
    let spread_ms = unix_ms(backoff.min(BACKOFF_SPREAD_BASE_MAX) / BACKOFF_SPREAD_PART);
    let spread = Duration::from_millis(state.random.below(spread_ms));
    state
        .target_table
        .start_backoff(now, choice, backoff.saturating_add(spread));
    drop(state);
    let pause_ms = backoff.as_millis().to_string();
    let fields = [
        ("target", choice.target.as_str()),
        ("pause_ms", pause_ms.as_str()),
    ];
    gateway.log(EventCode::TargetPaused, &fields);
}

/// Handles the rate limit that a target advertises, or its absence.
fn handle_limit(
    gateway: &Gateway,
    choice: &Choice,
    sent_at: Duration,
    advertised: AdvertisedLimit,
) {
    let now = gateway.now();
    let target = choice.identity();
    let mut state = gateway.state();
    let changed = state
        .target_table
        .apply_advertised_limit(now, &target, sent_at, advertised);
    drop(state);
    if let Some(limit) = changed {
        log_limit(gateway, &target, limit.calls_per_s, "answer");
        gateway.gossip_wanted.notify_one();
    }
}

/// Handles the number of calls that the targets of a service may reject, or its absence.
fn handle_rejection_limit(
    gateway: &Gateway,
    service: &str,
    sent_at: Duration,
    stated: AdvertisedLimit,
) {
    let now = gateway.now();
    let changed = gateway
        .state()
        .target_table
        .apply_rejection_limit(now, service, sent_at, stated);
    if let Some(limit) = changed {
        log_rejection_limit(gateway, service, limit.calls_per_s, "answer");
        gateway.gossip_wanted.notify_one();
    }
}

/// Logs that the rejection limit of a service's targets has changed or been removed.
pub(crate) fn log_rejection_limit(
    gateway: &Gateway,
    service: &str,
    rejections_per_s: Option<f64>,
    source: &str,
) {
    let rejections_per_s = rejections_per_s.map_or_else(|| "-".to_owned(), |one| one.to_string());
    let fields = [
        ("service", service),
        ("rejections_per_s", rejections_per_s.as_str()),
        ("source", source),
    ];
    gateway.log(EventCode::TargetsBrittle, &fields);
}

/// Logs that a target's advertised limit has changed or been removed.
pub(crate) fn log_limit(
    gateway: &Gateway,
    target: &TargetIdentity,
    calls_per_s: Option<f64>,
    source: &str,
) {
    let calls_per_s = calls_per_s.map_or_else(|| "-".to_owned(), |calls| calls.to_string());
    let incarnation = incarnation_text(target.incarnation);
    let fields = [
        ("target", target.target.as_str()),
        ("incarnation", incarnation.as_str()),
        ("calls_per_s", calls_per_s.as_str()),
        ("source", source),
    ];
    gateway.log(EventCode::TargetLimited, &fields);
}
