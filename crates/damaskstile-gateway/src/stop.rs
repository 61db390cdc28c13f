//! Graceful shutdown: lets open calls finish and hands back tokens before the process ends.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

use crate::event_loop_times::EventLoopTimes;
use crate::gateway::Gateway;
use crate::phase::Phase;
use crate::rounds;
use crate::stop_times::StopTimes;

/// Interval between two checks for open calls.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Waits for SIGTERM or SIGINT and shuts the instance down.
///
/// # Errors
///
/// Returns an error where signals cannot be received.
pub async fn run(gateway: Arc<Gateway>, event_loop: &EventLoopTimes) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let began_at = gateway.now();
    let delay_max = event_loop.delay_max();
    let times = StopTimes::new(began_at, gateway.options.stop_limit).brought_forward(delay_max);
    let times = *gateway.stop_times.get_or_init(|| times);
    let open_calls = gateway.open_calls().to_string();
    let delay_max_ms = delay_max.as_millis().to_string();
    let fields = [
        ("open_calls", open_calls.as_str()),
        ("delay_max_ms", &delay_max_ms),
    ];
    gateway.log(EventCode::StopBegan, &fields);
    gateway.state().is_stopping = true;
    gateway.report_streams_soon();
    gateway.phase.send_replace(Phase::Leaving);

    tokio::time::sleep(times.closing_at.saturating_sub(began_at)).await;
    gateway.phase.send_replace(Phase::Closing);
    // The balance that no open call has reserved is handed back now, so that little is left to do
    // after the last call.
    gateway.state().holder.stop();
    gateway.tokens_wanted.notify_one();
    gateway.round_wanted.notify_one();

    while gateway.open_calls() > 0 && gateway.now() < times.cut_at {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let cut_calls = gateway.open_calls();
    gateway.phase.send_replace(Phase::Ending);
    // Gives cut calls time to release their tokens and to answer their callers.
    tokio::time::sleep(CHECK_INTERVAL).await;
    end(&gateway, &times, cut_calls).await;
    Ok(())
}

/// Returns whether nothing is left to hand back. Loaned tokens return when the borrowing calls have
/// ended; if the process ended before that, they would count as spent.
fn has_handed_back(gateway: &Gateway) -> bool {
    let state = gateway.state();
    state.lender.open_loans() == 0 && state.holder.is_handed_back()
}

/// Hands back the remaining balance, and waits for callers to read what was written to them.
///
/// When the process ends, unsent parts of answers are lost: a caller that reads slowly would miss
/// the end of an answer that is logged as delivered.
async fn end(gateway: &Gateway, times: &StopTimes, cut_calls: usize) {
    // Tokens transferred from peers are returned to them, the rest goes to the store.
    gateway.tokens_wanted.notify_one();
    let mut is_handed_back;
    loop {
        // Checked in each iteration: a call whose caller does not read releases its tokens late.
        is_handed_back = has_handed_back(gateway);
        let is_done = is_handed_back && gateway.open_connections() == 0;
        if is_done || gateway.now() >= times.end_at {
            break;
        }
        if !is_handed_back {
            rounds::run_if_due(gateway).await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
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
