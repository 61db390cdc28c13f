//! `target_says` takes in what a target says of itself in an answer.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_targets::Choice;

use crate::answer::AnswerHead;
use crate::gateway::Gateway;
use crate::handling::Handling;
use crate::target_list::incarnation_text;

/// Part of a pause by which an instance stays away longer, by chance.
const PAUSE_SPREAD_PART: u32 = 5;
/// Pause up to which it is a part of it.
const PAUSE_SPREAD_OF_MAX: Duration = Duration::from_secs(10);

/// Takes in what the target of a call says of itself in the head of an answer.
pub(crate) fn heed(gateway: &Gateway, head: &AnswerHead, choice: &Choice) {
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
