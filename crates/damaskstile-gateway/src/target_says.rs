//! `target_says` takes in what a target says of itself in an answer.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_targets::{Choice, NamedLimit};

use crate::answer::AnswerHead;
use crate::gateway::Gateway;
use crate::handling::Handling;
use crate::running::Running;
use crate::target_list::incarnation_text;

/// Part of a pause by which an instance stays away longer, by chance.
const PAUSE_SPREAD_PART: u32 = 5;
/// Pause up to which it is a part of it.
const PAUSE_SPREAD_OF_MAX: Duration = Duration::from_secs(10);

/// Takes in what the target of a call says of itself in the head of an answer, to that call or to an
/// earlier one.
pub(crate) fn heed(gateway: &Gateway, head: &AnswerHead, running: &Running, is_own: bool) {
    let choice = &running.choice;
    // There another target speaks.
    if head.handling == Handling::Misdirected {
        return;
    }
    if head.is_leaving {
        heed_leaving(gateway, choice);
    }
    if let Some(pause) = head.pause.filter(|pause| !pause.is_zero()) {
        heed_pause(gateway, choice, pause);
    }
    // That an earlier answer names no limit says nothing of now.
    if is_own || head.named_limit != NamedLimit::Absent {
        heed_limit(gateway, choice, running.sent_at(), head.named_limit);
    }
}

/// Takes in that a target says in an answer that it leaves.
///
/// It may not reach the store for long, and neither the list nor peers tell of it until it has. The
/// word is on the process that the connection leads to, so any answer on it counts, also one that
/// turns the call away or answers another one, and it counts from its head on: calls that follow
/// while a stream goes on would reach a target that has left.
fn heed_leaving(gateway: &Gateway, choice: &Choice) {
    let target = choice.identity();
    let now = gateway.now();
    if gateway.state().book.leave(now, &target) {
        let incarnation = incarnation_text(target.incarnation);
        let fields = [
            ("target", target.target.as_str()),
            ("incarnation", incarnation.as_str()),
            ("source", "answer"),
        ];
        gateway.log(EventCode::TargetLeaving, &fields);
        gateway.news.notify_one();
    }
}

/// Takes in that a target wants nothing from this instance for a time.
///
/// Calls sent before it is over are turned away again, each after a way to the target and back, and
/// keep a target busy that has no room. Instances that were told the same at the same moment come
/// back some time apart.
fn heed_pause(gateway: &Gateway, choice: &Choice, pause: Duration) {
    let now = gateway.now();
    let mut state = gateway.state();
    let spread_ms = unix_ms(pause.min(PAUSE_SPREAD_OF_MAX) / PAUSE_SPREAD_PART);
    let spread = Duration::from_millis(state.random.below(spread_ms));
    state.book.pause(now, choice, pause.saturating_add(spread));
    drop(state);
    let pause_ms = pause.as_millis().to_string();
    let fields = [
        ("target", choice.target.as_str()),
        ("pause_ms", pause_ms.as_str()),
    ];
    gateway.log(EventCode::TargetPaused, &fields);
}

/// Takes in whether a target names a limit of the calls that it takes.
fn heed_limit(gateway: &Gateway, choice: &Choice, sent_at: Duration, named: NamedLimit) {
    let now = gateway.now();
    let target = choice.identity();
    let mut state = gateway.state();
    let news = state.book.heed_limit(now, &target, sent_at, named);
    drop(state);
    if let Some(word) = news {
        log_limit(gateway, &target, word.calls_per_s, "answer");
        gateway.news.notify_one();
    }
}

/// Logs that a target names another limit than before, or none any more.
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
