//! `proof` asks the store for a sign of life where nothing else does.
//!
//! Watches may stay open for long and say nothing, so their silence does not tell whether the store
//! is there. Two duties need to know: peers go by the word of the few watchers of a large fleet,
//! and a watch that an outage has lost must be noticed.

use std::sync::Arc;
use std::time::Duration;

use crate::follow::{note_answer, note_failure};
use crate::gateway::Gateway;
use crate::objects::ObjectStore;

/// Silence of the store after which an instance that watches it asks for a sign of life: twice
/// within the time for which peers believe it, and, with the limit of a call, early enough to find
/// a lost watch within the time that a change may take. Such a call costs a tenth of another.
const PROOF_INTERVAL: Duration = Duration::from_millis(700);

/// The same for an instance that watches for nobody and whose last call failed. It may have no
/// other call to make for long, and would hold the store for lost all that time: targets that
/// vanish from the list would stay in use for a grace. All of a large fleet do this in an outage.
const LOST_INTERVAL: Duration = Duration::from_secs(2);

/// The same in a large fleet, where the few that look out for the end of an outage tell all others.
/// Should they be wrong or dead, each finds out itself, well within the time that a change may take
/// after an outage.
const LARGE_LOST_INTERVAL: Duration = Duration::from_secs(4);
/// Longest time beyond that, so that not all ask at once.
const LARGE_LOST_JITTER_MS: u64 = 1_000;

/// Asks for signs of life until the process ends.
pub async fn keep(gateway: Arc<Gateway>) {
    loop {
        let silence = silence(&gateway);
        let interval = interval(&gateway);
        if interval.is_some_and(|interval| silence >= interval) {
            prove(&gateway).await;
            // A store that refuses at once is not asked more often than one that is silent.
            let pause = interval.unwrap_or(PROOF_INTERVAL).max(PROOF_INTERVAL);
            tokio::time::sleep(pause).await;
        } else {
            let left = PROOF_INTERVAL.checked_sub(silence);
            let pause = left.unwrap_or(PROOF_INTERVAL);
            tokio::time::sleep(pause.max(PROOF_INTERVAL / 4)).await;
        }
    }
}

/// Returns the silence of the store after which to ask, and the time between two asks; `None` where
/// there is no need to.
fn interval(gateway: &Gateway) -> Option<Duration> {
    let now = gateway.now();
    let mut state = gateway.state();
    let is_lost = state.contact.is_lost();
    // At a start other duties call the store, or peers make that needless.
    if !is_lost && state.contact.age(now).is_none() {
        return None;
    }
    if !state.may_call_store(now) {
        let jitter_ms = state.random.below(LARGE_LOST_JITTER_MS);
        let interval = LARGE_LOST_INTERVAL + Duration::from_millis(jitter_ms);
        let is_scout = state.is_scout(now);
        return Some(if is_scout { PROOF_INTERVAL } else { interval });
    }
    if state.is_watcher(now) {
        return Some(PROOF_INTERVAL);
    }
    is_lost.then_some(LOST_INTERVAL)
}

/// Asks for a sign of life.
pub(crate) async fn prove(gateway: &Gateway) {
    match gateway.store.probe().await {
        Ok(()) => note_answer(gateway),
        Err(error) => note_failure(gateway, &error),
    }
}

/// Returns the time since the store last answered.
fn silence(gateway: &Gateway) -> Duration {
    let now = gateway.now();
    gateway.state().contact.age(now).unwrap_or(Duration::MAX)
}
