//! `stop` ends an instance without cutting off a call.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::Gateway;
use crate::phase::Phase;
use crate::rounds;

/// Time for which an instance that is leaving still takes what comes. The balancer asks once a
/// second and needs two refusals, and callers on open connections learn of it with an answer.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);
/// Time between two looks at what is still open.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the stop's time that is left for handing back tokens.
const HAND_BACK_TIME: Duration = Duration::from_millis(900);

/// Waits for the order to stop and carries it out.
///
/// # Errors
///
/// Returns an error where signals cannot be received.
pub async fn run(gateway: Arc<Gateway>) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let began_at = gateway.now();
    let open_calls = gateway.open_calls().to_string();
    gateway.log(EventCode::StopBegan, &[("open_calls", &open_calls)]);
    gateway.state().is_stopping = true;
    gateway.phase.send_replace(Phase::Leaving);

    let leaving_time = LEAVING_TIME.min(gateway.options.stop_limit / 2);
    tokio::time::sleep(leaving_time).await;
    gateway.phase.send_replace(Phase::Closing);
    gateway.state().holder.stop();

    let close_by = began_at + gateway.options.stop_limit.saturating_sub(HAND_BACK_TIME);
    while gateway.open_calls() > 0 && gateway.now() < close_by {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    hand_back(&gateway, began_at + gateway.options.stop_limit).await;
    Ok(())
}

async fn hand_back(gateway: &Gateway, until: Duration) {
    // What peers handed over goes back to them, the rest to the store.
    gateway.tokens_wanted.notify_one();
    while gateway.now() < until {
        if gateway.state().holder.is_handed_back() {
            gateway.log(EventCode::StopDone, &[]);
            return;
        }
        rounds::look(gateway).await;
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    let open_calls = gateway.open_calls().to_string();
    gateway.log(EventCode::StopCutShort, &[("open_calls", &open_calls)]);
}
