//! Start of a call at another target while its current run is silent.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_requests::SendFailureKind;
use damaskstile_targets::Choice;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::caller_connection::CallerConnection;
use crate::gateway::Gateway;
use crate::prepared_send::PreparedSend;
use crate::run::{Run, SendFailure};
use crate::send_options::SendOptions;
use crate::silent_run::{RunStep, SilentRun};
use crate::wait_limit::WaitLimit;

/// Longest time for which a stream may run at two targets. Two runs of one stream must not last for
/// 400 ms beside each other; the rest covers the way of the cancellation. A target that rejects a
/// call does so within a round trip.
pub(crate) const STREAM_OVERLAP_MAX: Duration = Duration::from_millis(250);

/// How a successor is started.
#[derive(Debug)]
pub(crate) struct SuccessorStart<'a> {
    pub(crate) gateway: &'a Arc<Gateway>,
    pub(crate) caller: &'a CallerConnection,
    pub(crate) wait_limit: WaitLimit<'a>,
    /// Time until which the successor may be silent while a further target is available.
    pub(crate) until: Duration,
    pub(crate) choice: Choice,
    pub(crate) options: SendOptions,
    /// Longest time for which the silent run is kept once the call was sent to the successor;
    /// `None` if it may run at both.
    pub(crate) overlap_max: Option<Duration>,
    /// Whether the successor has to send a part of its answer, too, to take the call over.
    pub(crate) needs_part: bool,
}

/// Outcome of the start of a successor.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "it is moved once, where few streams stall"
)]
pub(crate) enum Succession<T> {
    /// The silent run goes on, and the successor was cancelled.
    Cancelled {
        /// What the silent run went on with.
        step: T,
        /// Whether the successor's target may have received the call.
        was_sent: bool,
    },
    /// The successor's target has answered, or the send to it has failed.
    Started {
        /// The successor's run, with the part of its answer that was read.
        started: Result<(Run, Option<Frame<Bytes>>), SendFailure>,
        /// End of the silent run, if it has ended meanwhile.
        ended: Option<T>,
    },
}

impl SuccessorStart<'_> {
    /// Starts the successor beside a run that is silent.
    ///
    /// The silent run is kept until the successor's target has answered: that one may reject the
    /// call, refuse the connection or be silent too, while the silent target is about to go on.
    /// Where the call may not run at two targets for long, the silent run is given up, and
    /// `current` emptied, when the overlap is over.
    pub(crate) async fn beside<C: SilentRun>(self, current: &mut Option<C>) -> Succession<C::Step> {
        let sent = watch::Sender::new(None);
        let (overlap_max, needs_part) = (self.overlap_max, self.needs_part);
        let mut starting = pin!(self.start(&sent));
        let mut ended = None;
        let mut started = loop {
            let Some(silent) = current.as_mut().filter(|_| ended.is_none()) else {
                break starting.await;
            };
            tokio::select! {
                biased;
                started = starting.as_mut() => break started,
                step = silent.next() => match step {
                    RunStep::GoesOn(step) => {
                        let was_sent = sent.borrow().is_some();
                        return Succession::Cancelled { step, was_sent };
                    }
                    RunStep::Ended(step) => ended = Some(step),
                },
                () = overlap_over(&sent, overlap_max) => give_up(current),
            }
        };
        let mut part = None;
        while let Ok(run) = &mut started
            && needs_part
            && run.parts.status.is_success()
            && ended.is_none()
            && part.is_none()
            && let Some(silent) = current.as_mut()
        {
            tokio::select! {
                biased;
                frame = run.body.frame() => match frame {
                    Some(Ok(frame)) => part = Some(frame),
                    // Nothing was left of the answer.
                    None => break,
                    Some(Err(_)) => {
                        run.running.note(false);
                        let kind = SendFailureKind::Broken;
                        started = Err(SendFailure::new(kind, "broken_at_first"));
                    }
                },
                step = silent.next() => match step {
                    RunStep::GoesOn(step) => {
                        return Succession::Cancelled { step, was_sent: true };
                    }
                    RunStep::Ended(step) => ended = Some(step),
                },
                () = overlap_over(&sent, overlap_max) => give_up(current),
            }
        }
        let started = started.map(|run| (run, part));
        Succession::Started { started, ended }
    }

    async fn start(self, sent: &watch::Sender<Option<Instant>>) -> Result<Run, SendFailure> {
        let (gateway, wait_limit) = (self.gateway, &self.wait_limit);
        let connecting =
            PreparedSend::connect(gateway, wait_limit, self.until, self.choice, self.options);
        let prepared = connecting.await?;
        sent.send_replace(Some(Instant::now()));
        prepared
            .run(gateway, self.caller, wait_limit, self.until)
            .await
    }
}

fn give_up<C: SilentRun>(current: &mut Option<C>) {
    if let Some(silent) = current.take() {
        silent.give_up();
    }
}

/// Waits until the call was sent and the longest overlap has passed since.
async fn overlap_over(sent: &watch::Sender<Option<Instant>>, overlap_max: Option<Duration>) {
    let Some(overlap_max) = overlap_max else {
        return std::future::pending().await;
    };
    let mut sent = sent.subscribe();
    let sent_at = match sent.wait_for(Option::is_some).await {
        Ok(sent_at) => *sent_at,
        Err(_) => None,
    };
    if let Some(sent_at) = sent_at {
        sleep_until(sent_at + overlap_max).await;
    }
}
