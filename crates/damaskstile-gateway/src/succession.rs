//! Start of a call at another target while its current run is silent.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use damaskstile_targets::Choice;

use crate::caller_connection::CallerConnection;
use crate::gateway::Gateway;
use crate::prepared_send::PreparedSend;
use crate::run::{Run, SendFailure};
use crate::send_options::SendOptions;
use crate::wait_limit::WaitLimit;

/// What a silent run does while its successor starts.
#[derive(Debug)]
pub(crate) enum CurrentRun<T> {
    /// It goes on.
    GoesOn(T),
    /// It has ended without a complete answer.
    Ended(T),
}

/// Outcome of the start of a successor.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "it is moved once, where few streams stall"
)]
pub(crate) enum Succession<T> {
    /// The current run goes on, and the successor was cancelled.
    Cancelled {
        /// What the current run went on with.
        current: T,
        /// Whether the successor's target may have received the call.
        was_sent: bool,
    },
    /// The successor's target has answered, or the send to it has failed.
    Started {
        /// Result of the successor's start.
        started: Result<Run, SendFailure>,
        /// End of the current run, if it has ended meanwhile.
        ended: Option<T>,
    },
}

/// Starts a successor beside a run that is silent.
///
/// The current run is kept until the successor's target has accepted the call: that one may reject
/// it, refuse the connection or be silent too, while the silent target is about to go on.
pub(crate) async fn start_successor<T>(
    current: impl Future<Output = CurrentRun<T>>,
    gateway: &Arc<Gateway>,
    caller: &CallerConnection,
    wait_limit: &WaitLimit<'_>,
    choice: Choice,
    options: SendOptions,
) -> Succession<T> {
    let was_sent = AtomicBool::new(false);
    let starting = async {
        let until = wait_limit.until();
        let connecting = PreparedSend::connect(gateway, wait_limit, until, choice, options);
        let prepared = connecting.await?;
        was_sent.store(true, Ordering::Relaxed);
        prepared.run(gateway, caller, wait_limit, until).await
    };
    let mut starting = pin!(starting);
    let (started, ended) = tokio::select! {
        biased;
        started = starting.as_mut() => (started, None),
        current = current => match current {
            CurrentRun::GoesOn(current) => {
                let was_sent = was_sent.load(Ordering::Relaxed);
                return Succession::Cancelled { current, was_sent };
            }
            CurrentRun::Ended(ended) => (starting.await, Some(ended)),
        },
    };
    Succession::Started { started, ended }
}
