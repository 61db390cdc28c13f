//! A call that has a connection to a target and is still to be sent.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_requests::SendFailureKind;
use damaskstile_targets::{Choice, Work};
use http::Request;
use http_body_util::Full;
use tokio::time::{Instant, timeout, timeout_at};

use crate::awaited_answer::AwaitedAnswer;
use crate::call::SendHead;
use crate::caller_connection::CallerConnection;
use crate::gateway::Gateway;
use crate::lease::{Lease, SendError};
use crate::outbound_call::OutboundCall;
use crate::paths::{self, PathFailure};
use crate::run::{
    CONNECT_REFUSED, CONNECT_TIMEOUT, OTHER_START, Run, START_UNANSWERED, SendFailure,
};
use crate::running::Running;
use crate::send_options::SendOptions;
use crate::start_check::{StartCheck, check_start};
use crate::state::Terms;
use crate::wait_limit::WaitLimit;

/// Shortest time without an answer after which the path to a target is checked.
const SILENCE_MIN: Duration = Duration::from_millis(300);
/// Time for which the query for a target's start may stay unanswered on a connection that may be
/// broken without a sign of it, and while another target is available.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// A call that has a connection to a target and is still to be sent. Until then dropping it leaves
/// no trace at the target.
#[derive(Debug)]
pub(crate) struct PreparedSend {
    lease: Lease,
    running: Running,
    options: SendOptions,
}

impl PreparedSend {
    /// Connects to a target, until the wait limit `until` has passed.
    ///
    /// # Errors
    ///
    /// Returns why there is no connection; nothing was sent.
    pub(crate) async fn connect(
        gateway: &Arc<Gateway>,
        wait_limit: &WaitLimit<'_>,
        until: Duration,
        choice: Choice,
        options: SendOptions,
    ) -> Result<Self, SendFailure> {
        let running = if options.continue_from.is_some() {
            // The copy spares the prefill, so the time to the first event shows no prefill speed.
            Running::new(gateway, choice, &Work::default())
        } else {
            Running::new(gateway, choice, &wait_limit.call.work)
        };
        let asks_start = options.asks_start || wait_limit.call.work.software_version.is_some();
        let choice = &running.choice;
        let leasing = lease_for_call(gateway, wait_limit, until, choice, asks_start);
        let failure = match leasing.await {
            Ok(lease) => {
                return Ok(Self {
                    lease,
                    running,
                    options,
                });
            }
            Err(LeaseFailure::OtherStart) => OTHER_START,
            Err(LeaseFailure::Unanswered) => {
                running.silent();
                START_UNANSWERED
            }
            Err(LeaseFailure::Path(PathFailure::Refused)) => {
                running.ended();
                CONNECT_REFUSED
            }
            Err(LeaseFailure::Path(PathFailure::Unreachable)) => {
                running.silent();
                CONNECT_TIMEOUT
            }
        };
        Err(SendFailure::new(SendFailureKind::NotSent, failure))
    }

    /// Sends the call, and waits for the head of its answer until the wait limit `until` has passed
    /// and another target is available.
    ///
    /// # Errors
    ///
    /// Returns what the failed send proves about the execution of the call.
    pub(crate) async fn run(
        self,
        gateway: &Arc<Gateway>,
        caller: &CallerConnection,
        wait_limit: &WaitLimit<'_>,
        until: Duration,
    ) -> Result<Run, SendFailure> {
        let choice = self.running.choice.clone();
        let (call, terms) = (wait_limit.call, wait_limit.terms);
        let answering = self.send(gateway, caller, call, terms, wait_limit.deadline)?;
        let answer = within(gateway, wait_limit, until, answering).await;
        answer.unwrap_or_else(|| {
            let now = gateway.now();
            let table = &mut gateway.state().target_table;
            table.unanswered(now, &choice);
            Err(SendFailure::SILENT)
        })
    }

    /// Sends the call. The returned future waits for the head of its answer until the call's
    /// deadline; if it is dropped before, the connection is closed, which cancels the call.
    ///
    /// # Errors
    ///
    /// Returns an error if the target has been taken out of use meanwhile.
    pub(crate) fn send(
        self,
        gateway: &Arc<Gateway>,
        caller: &CallerConnection,
        call: &OutboundCall,
        terms: &Terms,
        deadline: Duration,
    ) -> Result<impl Future<Output = Result<Run, SendFailure>> + use<>, SendFailure> {
        let Self {
            mut lease,
            running,
            options,
        } = self;
        // Connecting takes up to a few hundred milliseconds over a saturated link, and updates
        // received meanwhile may have taken the target out of use. Nothing of the call has been
        // sent yet, so any other target may still take it.
        let now = gateway.now();
        let target = running.choice.identity();
        if !gateway.state().target_table.claim_send(now, &target) {
            return Err(SendFailure::new(SendFailureKind::NotSent, "leaving"));
        }
        let is_continuation = options.continue_from.is_some();
        if !is_continuation {
            gateway.note_run_begun(terms);
        }
        let time_left = deadline.saturating_sub(now);
        let send = SendHead {
            target: &running.choice.target,
            account: terms.account.as_deref(),
            time_left,
            priority: terms.priority,
            fetch_from: running.choice.fetch_from,
            resume_after: options.resume_after,
            backup_at: options.backup_at,
            continue_from: options.continue_from,
        };
        let request = build(gateway, call, &send);
        let awaited = AwaitedAnswer::of(call, &terms.service, is_continuation);
        let (gateway, caller) = (Arc::clone(gateway), caller.clone());
        let (service, objective) = (terms.service.clone(), terms.route.objective);
        Ok(async move {
            if caller.has_disconnected() {
                // The connection's task drops this future as soon as it notices that the caller has
                // disconnected.
                std::future::pending::<()>().await;
            }
            let is_direct = lease.peer.is_none();
            let check = || {
                if is_direct {
                    paths::check_silence(&gateway, &service, &running.choice, now);
                }
            };
            let sending = with_checks(objective.max(SILENCE_MIN), check, lease.send(request));
            let answer = match timeout(time_left, sending).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(SendError::NotSent)) => {
                    return Err(SendFailure::new(SendFailureKind::NotSent, "closed_before"));
                }
                Ok(Err(SendError::Broken(_))) => {
                    // Targets close pooled connections when their idle time is up, so a break on
                    // one says nothing about the target.
                    if !lease.is_reused {
                        running.note(false);
                    }
                    return Err(SendFailure::new(SendFailureKind::Broken, "broken"));
                }
                Err(_) => {
                    running.silent();
                    return Err(SendFailure::SILENT);
                }
            };
            if is_direct {
                let now = gateway.now();
                gateway.state().reach.note_received(now, &service);
            }
            let (parts, body) = answer.into_parts();
            let head = gateway.dialect.read_answer(&parts);
            let run = Run {
                parts,
                head,
                body,
                lease,
                running,
            };
            awaited.check(&gateway, run)
        })
    }
}

/// Why there is no connection for a call.
enum LeaseFailure {
    Path(PathFailure),
    /// The connection does not lead, or no longer, to the incarnation that the list names.
    OtherStart,
    /// The target did not answer the query for its start.
    Unanswered,
}

/// Returns a connection to a target. A call that goes on elsewhere needs software of one version,
/// and an instance that is out of step, or an outage of the store, hides that a target is back under
/// its name with another one; so the target itself is asked. Its silence is no answer: it may pause
/// and go on.
async fn lease_for_call(
    gateway: &Arc<Gateway>,
    wait_limit: &WaitLimit<'_>,
    until: Duration,
    choice: &Choice,
    asks_start: bool,
) -> Result<Lease, LeaseFailure> {
    let service = &wait_limit.terms.service;
    let leasing = || lease_until(gateway, until, paths::lease(gateway, service, choice));
    let mut lease = leasing().await?;
    if !asks_start {
        return Ok(lease);
    }
    let mut check = StartCheck::Unanswered;
    if lease.is_reused {
        let checking = check_start(gateway, &mut lease, choice);
        let reused_check = timeout(QUERY_TIMEOUT, checking).await;
        check = reused_check.unwrap_or(StartCheck::Unanswered);
        if check == StartCheck::Unanswered {
            // Targets close idle connections, which says nothing of the target.
            let leasing = paths::lease_new(gateway, service, choice);
            lease = lease_until(gateway, until, leasing).await?;
        }
    }
    if check == StartCheck::Unanswered {
        let checking = check_start(gateway, &mut lease, choice);
        check = check_within(wait_limit, checking).await;
    }
    match check {
        StartCheck::Listed | StartCheck::Untold if lease.is_reusable().await => Ok(lease),
        StartCheck::Untold => leasing().await,
        StartCheck::Other(start) => {
            if Some(start) > choice.incarnation {
                let now = gateway.now();
                gateway.state().target_table.leave(now, &choice.identity());
            }
            Err(LeaseFailure::OtherStart)
        }
        StartCheck::Listed => Err(LeaseFailure::OtherStart),
        StartCheck::Unanswered => Err(LeaseFailure::Unanswered),
    }
}

/// Waits for a connection until `until`.
async fn lease_until(
    gateway: &Gateway,
    until: Duration,
    leasing: impl Future<Output = Result<Lease, PathFailure>>,
) -> Result<Lease, LeaseFailure> {
    let wait = until.saturating_sub(gateway.now());
    let lease = timeout(wait, leasing).await;
    let lease = lease.unwrap_or(Err(PathFailure::Unreachable));
    lease.map_err(LeaseFailure::Path)
}

/// Waits for the answer to the query for a target's start, shortly while another target is
/// available. Nothing of the call has been sent, so that one may take it all the same.
async fn check_within(
    wait_limit: &WaitLimit<'_>,
    checking: impl Future<Output = StartCheck>,
) -> StartCheck {
    let mut checking = pin!(checking);
    let mut check = timeout(QUERY_TIMEOUT, checking.as_mut()).await.ok();
    if check.is_none() && !wait_limit.has_other_target_now() {
        let now = wait_limit.gateway.now();
        let left = wait_limit.deadline.saturating_sub(now);
        check = timeout(left, checking).await.ok();
    }
    check.unwrap_or(StartCheck::Unanswered)
}

/// Waits for a future until `until`, and longer while no other target is available. Returns `None`
/// if another target is to be tried instead, or the call's deadline has passed.
async fn within<T>(
    gateway: &Gateway,
    wait_limit: &WaitLimit<'_>,
    until: Duration,
    future: impl Future<Output = T>,
) -> Option<T> {
    let instant = |at: Duration| Instant::now() + at.saturating_sub(gateway.now());
    let mut future = pin!(future);
    match timeout_at(instant(until), future.as_mut()).await {
        Err(_) if !wait_limit.has_successor_now() => {
            let waiting = timeout_at(instant(wait_limit.deadline), future);
            waiting.await.ok()
        }
        waited => waited.ok(),
    }
}

/// Waits for a future, and calls `check` each time that another interval has passed.
async fn with_checks<T>(
    interval: Duration,
    check: impl Fn(),
    future: impl Future<Output = T>,
) -> T {
    let mut future = pin!(future);
    loop {
        match timeout(interval, future.as_mut()).await {
            Ok(output) => return output,
            Err(_) => check(),
        }
    }
}

fn build(gateway: &Gateway, call: &OutboundCall, send: &SendHead<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut headers = call.headers.clone();
    gateway.dialect.set_send_headers(&mut headers, send);
    *request.headers_mut() = headers;
    request
}
