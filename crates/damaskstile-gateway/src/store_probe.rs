//! Probes the store when no other call shows whether it answers.
//!
//! Watches may stay open for long without an answer, so their silence does not show whether the
//! store is reachable. Two background tasks need to know: gossip, as peers rely on what the few
//! watchers of a large fleet report, and a watch, which must detect that an outage has lost it.

use std::sync::Arc;
use std::time::Duration;

use crate::follow::{note_answer, note_failure};
use crate::gateway::Gateway;
use crate::objects::ObjectStore;

/// Time without an answer of the store after which an instance that watches it probes it. It allows
/// for two probes within the time for which peers rely on the instance's contact with the store,
/// and, together with the time limit of a call, it detects a lost watch within the time limit for a
/// change to take effect. A probe costs a tenth of another call.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Probe interval of an instance that watches for no other and whose last call failed. It may have
/// no other call to make for long and would take the store for lost all that time, which keeps
/// delisted targets in use for a grace period.
const LOST_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Probe interval in a large fleet, all of whose instances probe during an outage. The few outage
/// probers notify all others; if these are wrong or dead, each instance finds out itself, well
/// within the time limit for a change to take effect after an outage.
const LARGE_FLEET_PROBE_INTERVAL: Duration = Duration::from_secs(4);
/// Upper bound of the random addition to that interval, in milliseconds, so that instances do not
/// probe together.
const LARGE_FLEET_PROBE_JITTER_MS: u64 = 1_000;

/// Probes the store when needed, until the process ends.
pub async fn keep(gateway: Arc<Gateway>) {
    loop {
        let silence = silence(&gateway);
        let interval = interval(&gateway);
        if interval.is_some_and(|interval| silence >= interval) {
            probe_store(&gateway).await;
            // A store that refuses immediately is not probed more often than one that does not
            // answer.
            let pause = interval.unwrap_or(PROBE_INTERVAL).max(PROBE_INTERVAL);
            tokio::time::sleep(pause).await;
        } else {
            let left = PROBE_INTERVAL.checked_sub(silence);
            let pause = left.unwrap_or(PROBE_INTERVAL);
            tokio::time::sleep(pause.max(PROBE_INTERVAL / 4)).await;
        }
    }
}

/// Returns the time without an answer after which to probe the store, which is also the interval
/// between probes; `None` if no probe is needed.
fn interval(gateway: &Gateway) -> Option<Duration> {
    let now = gateway.now();
    let mut state = gateway.state();
    let is_lost = state.contact.is_lost();
    // At a start other tasks call the store, or peers make that unnecessary.
    if !is_lost && state.contact.age(now).is_none() {
        return None;
    }
    if !state.may_call_store(now) {
        let jitter_ms = state.random.below(LARGE_FLEET_PROBE_JITTER_MS);
        let interval = LARGE_FLEET_PROBE_INTERVAL + Duration::from_millis(jitter_ms);
        let is_outage_prober = state.is_outage_prober(now);
        return Some(if is_outage_prober {
            PROBE_INTERVAL
        } else {
            interval
        });
    }
    if state.is_watcher(now) {
        return Some(PROBE_INTERVAL);
    }
    is_lost.then_some(LOST_PROBE_INTERVAL)
}

/// Probes the store once.
pub(crate) async fn probe_store(gateway: &Gateway) {
    match gateway.store.probe().await {
        Ok(()) => note_answer(gateway),
        Err(error) => note_failure(gateway, &error),
    }
}

/// Returns the time since the store's last answer, or [`Duration::MAX`] if there was none.
fn silence(gateway: &Gateway) -> Duration {
    let now = gateway.now();
    gateway.state().contact.age(now).unwrap_or(Duration::MAX)
}
