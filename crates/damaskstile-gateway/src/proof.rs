//! `proof` asks the store for a sign of life where nothing else does.
//!
//! Watches may stay open for long and say nothing, so their silence does not tell whether the store
//! is there. Two duties need to know: peers go by the word of the few watchers of a large fleet,
//! and a watch that an outage has swallowed must be noticed.

use std::sync::Arc;
use std::time::Duration;

use crate::follow::{note_answer, note_failure};
use crate::gateway::Gateway;

/// Silence of the store after which an instance that watches it asks for a sign of life: twice
/// within the time for which peers believe it, and, with the limit of a call, early enough to find
/// a swallowed watch within the time that a change may take. Such a call costs a tenth of another.
const PROOF_INTERVAL: Duration = Duration::from_millis(700);

/// The same for an instance that watches for nobody and whose last call failed. It may have no
/// other call to make for long, and would hold the store for lost all that time: targets that
/// vanish from the list would stay in use for a grace. All of a large fleet do this in an outage.
const LOST_INTERVAL: Duration = Duration::from_secs(2);

/// Asks for signs of life until the process ends.
pub async fn keep(gateway: Arc<Gateway>) {
    loop {
        let silence = silence(&gateway);
        if is_due(&gateway, silence) {
            prove(&gateway).await;
            // A store that refuses at once is not asked more often than one that is silent.
            tokio::time::sleep(PROOF_INTERVAL).await;
        } else {
            let left = PROOF_INTERVAL.checked_sub(silence);
            let pause = left.unwrap_or(PROOF_INTERVAL);
            tokio::time::sleep(pause.max(PROOF_INTERVAL / 4)).await;
        }
    }
}

fn is_due(gateway: &Gateway, silence: Duration) -> bool {
    let now = gateway.now();
    let state = gateway.state();
    if state.is_watcher(now) {
        silence >= PROOF_INTERVAL
    } else {
        state.contact.is_lost() && silence >= LOST_INTERVAL
    }
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
