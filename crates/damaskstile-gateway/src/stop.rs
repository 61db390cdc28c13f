//! `stop` ends an instance without cutting off a call.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::Gateway;
use crate::phase::Phase;
use crate::rounds;
use crate::stop_times::StopTimes;

/// Time between two looks at what is still open.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

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
    let times = StopTimes::new(began_at, gateway.options.stop_limit);
    let times = *gateway.stop_times.get_or_init(|| times);
    let open_calls = gateway.open_calls().to_string();
    gateway.log(EventCode::StopBegan, &[("open_calls", &open_calls)]);
    gateway.state().is_stopping = true;
    gateway.phase.send_replace(Phase::Leaving);

    tokio::time::sleep(times.closing_at.saturating_sub(began_at)).await;
    gateway.phase.send_replace(Phase::Closing);
    gateway.state().holder.stop();

    while gateway.open_calls() > 0 && gateway.now() < times.cut_at {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    gateway.phase.send_replace(Phase::Ending);
    let cut_calls = gateway.open_calls();
    hand_back(&gateway, &times, cut_calls).await;
    Ok(())
}

async fn hand_back(gateway: &Gateway, times: &StopTimes, cut_calls: usize) {
    // What peers handed over goes back to them, the rest to the store.
    gateway.tokens_wanted.notify_one();
    let mut is_handed_back = false;
    while !is_handed_back && gateway.now() < times.end_at {
        is_handed_back = gateway.state().holder.is_handed_back();
        if !is_handed_back {
            rounds::look(gateway).await;
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
    let took_ms = gateway.now().saturating_sub(times.began_at).as_millis();
    let (took_ms, cut_calls) = (took_ms.to_string(), cut_calls.to_string());
    let fields = [("took_ms", took_ms.as_str()), ("cut_calls", &cut_calls)];
    let code = if is_handed_back {
        EventCode::StopDone
    } else {
        EventCode::StopCutShort
    };
    gateway.log(code, &fields);
}
