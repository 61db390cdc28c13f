//! `stop` ends an instance without cutting off a call.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

use crate::gateway::Gateway;
use crate::phase::Phase;
use crate::rounds;
use crate::stop_times::StopTimes;

/// Time between two looks at what is still open.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

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
    // What no open call holds goes back now, so that little is left to do after the last call.
    gateway.state().holder.stop();
    gateway.tokens_wanted.notify_one();
    gateway.round_wanted.notify_one();

    while gateway.open_calls() > 0 && gateway.now() < times.cut_at {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    let cut_calls = gateway.open_calls();
    gateway.phase.send_replace(Phase::Ending);
    // Calls that are cut let go of their tokens, and their callers are told.
    tokio::time::sleep(LOOK_INTERVAL).await;
    end(&gateway, &times, cut_calls).await;
    Ok(())
}

/// Tells whether nothing is left to hand back. What is lent comes back when the calls that borrowed
/// it are over; a process that ended before would leave it to count as spent.
fn has_handed_back(gateway: &Gateway) -> bool {
    let state = gateway.state();
    state.lender.open_loans() == 0 && state.holder.is_handed_back()
}

/// Hands back what is held, and waits for callers to read what was written to them.
///
/// Answers of which a part still waits in the process are cut when it ends: a caller that reads
/// slowly would lose the end of an answer that counts as given.
async fn end(gateway: &Gateway, times: &StopTimes, cut_calls: usize) {
    // What peers handed over goes back to them, the rest to the store.
    gateway.tokens_wanted.notify_one();
    let mut is_handed_back;
    loop {
        // Asked anew each time: a call whose caller does not read lets go of its tokens late.
        is_handed_back = has_handed_back(gateway);
        let is_done = is_handed_back && gateway.open_connections() == 0;
        if is_done || gateway.now() >= times.end_at {
            break;
        }
        if !is_handed_back {
            rounds::look(gateway).await;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    let open_connections = gateway.open_connections().to_string();
    let took_ms = gateway.now().saturating_sub(times.began_at).as_millis();
    let (took_ms, cut_calls) = (took_ms.to_string(), cut_calls.to_string());
    let fields = [
        ("took_ms", took_ms.as_str()),
        ("cut_calls", &cut_calls),
        ("open_connections", &open_connections),
    ];
    let code = if is_handed_back {
        EventCode::StopDone
    } else {
        EventCode::StopCutShort
    };
    gateway.log(code, &fields);
}
