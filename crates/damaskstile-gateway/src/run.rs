//! Sends a call to one target and waits for the head of its answer.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_http::is_final_status;
use damaskstile_requests::SendFailureKind;
use damaskstile_targets::{Choice, Work};
use http::{Request, StatusCode, response};
use http_body_util::Full;
use tokio::time::{Instant, timeout, timeout_at};

use crate::answer::AnswerHead;
use crate::answer_body::AnswerBody;
use crate::answer_signals;
use crate::call::SendHead;
use crate::caller_connection::CallerConnection;
use crate::gateway::Gateway;
use crate::handling::Handling;
use crate::lease::{Lease, SendError};
use crate::outbound_call::OutboundCall;
use crate::paths::{self, PathFailure};
use crate::running::Running;
use crate::send_options::SendOptions;
use crate::start_check::{StartCheck, check_start};
use crate::state::Terms;
use crate::wait_limit::WaitLimit;

/// An answer whose head has arrived from a target.
#[derive(Debug)]
pub struct Run {
    /// Status and headers.
    pub parts: response::Parts,
    /// Decoded headers of the answer.
    pub head: AnswerHead,
    /// Body, not read yet.
    pub body: AnswerBody,
    /// The connection; closed when dropped.
    pub lease: Lease,
    /// Counts the call as running at the target.
    pub running: Running,
}

/// Why a send produced no answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendFailure {
    /// What is known about the call's execution.
    pub end: SendFailureKind,
    /// Cause, for the logs.
    pub cause: &'static str,
}

/// Shortest time without an answer after which the path to a target is checked.
const SILENCE_MIN: Duration = Duration::from_millis(300);
/// Cause of a send whose target refused the connection.
const CONNECT_REFUSED: &str = "connect_refused";
/// Cause of a send whose connection leads to no listed incarnation.
const OTHER_START: &str = "other_start";
/// Cause of a send whose connection was not made in time.
const CONNECT_TIMEOUT: &str = "connect_timeout";
/// Cause of a send whose target refused it as it may lack the weights that the caller expects.
const OTHER_WEIGHTS: &str = "other_weights";
/// Cause of a send whose target refused it because the caller gave it no id.
const NO_ID: &str = "no_id";

impl SendFailure {
    pub(crate) const fn new(end: SendFailureKind, cause: &'static str) -> Self {
        Self { end, cause }
    }

    /// Returns why the call is to be refused without another send, which any target may refuse too
    /// and which would draw on the retries that all callers share; `None` if the failure is not due
    /// to what the caller asks for.
    pub(crate) fn fault_of_call(self) -> Option<RefusalCode> {
        match self.cause {
            OTHER_WEIGHTS => Some(RefusalCode::NoTargetOfWeights),
            NO_ID => Some(RefusalCode::BadRequest),
            _ => None,
        }
    }

    /// Returns whether no connection to the target could be made.
    pub(crate) fn is_unreachable(self) -> bool {
        [CONNECT_REFUSED, CONNECT_TIMEOUT].contains(&self.cause)
    }
}

/// Sends a call to one target and waits for the head of its answer, until the wait limit in
/// `wait_limit` expires while another target is available. The time to connect counts towards the
/// limit; otherwise it would be added to the route's time-out.
///
/// # Errors
///
/// Returns what the failed send proves about the execution of the call.
pub async fn start(
    gateway: &Arc<Gateway>,
    caller: &CallerConnection,
    wait_limit: &WaitLimit<'_>,
    choice: Choice,
    options: SendOptions,
) -> Result<Run, SendFailure> {
    let (call, terms) = (wait_limit.call, wait_limit.terms);
    let instant = |at: Duration| Instant::now() + at.saturating_sub(gateway.now());
    let until = instant(wait_limit.until());
    let is_continuation = options.continue_from.is_some();
    let running = if is_continuation {
        // The copy spares the prefill, so the time to the first event shows no prefill speed.
        Running::new(gateway, choice, &Work::default())
    } else {
        Running::new(gateway, choice, &call.work)
    };
    let choice = &running.choice;
    let leasing = lease_for_call(gateway, wait_limit, choice);
    let mut lease = match timeout_at(until, leasing).await {
        Ok(Ok(lease)) => lease,
        Ok(Err(LeaseFailure::OtherStart)) => {
            return Err(SendFailure::new(SendFailureKind::NotSent, OTHER_START));
        }
        Ok(Err(LeaseFailure::Path(PathFailure::Refused))) => {
            running.ended();
            return Err(SendFailure::new(SendFailureKind::NotSent, CONNECT_REFUSED));
        }
        Ok(Err(LeaseFailure::Path(PathFailure::Unreachable))) | Err(_) => {
            running.silent();
            return Err(SendFailure::new(SendFailureKind::NotSent, CONNECT_TIMEOUT));
        }
    };
    // Connecting takes up to a few hundred milliseconds over a saturated link, and updates received
    // meanwhile may have taken the target out of use. Nothing of the call has been sent yet, so any
    // other target may still take it.
    let now = gateway.now();
    if !gateway
        .state()
        .target_table
        .claim_send(now, &choice.identity())
    {
        return Err(SendFailure::new(SendFailureKind::NotSent, "leaving"));
    }
    if !is_continuation {
        gateway.note_run_begun(terms);
    }
    if caller.has_disconnected() {
        // The connection's task drops this future as soon as it notices that the caller has
        // disconnected.
        std::future::pending::<()>().await;
    }
    let send = SendHead {
        target: &choice.target,
        account: terms.account.as_deref(),
        time_left: wait_limit.deadline.saturating_sub(gateway.now()),
        priority: terms.priority,
        fetch_from: choice.fetch_from,
        resume_after: options.resume_after,
        backup_at: options.backup_at,
        continue_from: options.continue_from,
    };
    let request = build(gateway, call, &send);
    let is_direct = lease.peer.is_none();
    let answer = {
        let sending = lease.send(request);
        let mut sending = pin!(check_if_silent(gateway, terms, choice, is_direct, sending));
        match timeout_at(until, sending.as_mut()).await {
            Err(_) if !wait_limit.has_successor_now() => {
                timeout_at(instant(wait_limit.deadline), sending).await
            }
            answer => answer,
        }
    };
    let answer = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(SendError::NotSent)) => {
            return Err(SendFailure::new(SendFailureKind::NotSent, "closed_before"));
        }
        Ok(Err(SendError::Broken(_))) => {
            // Targets close pooled connections when their idle time is up, so a break on one says
            // nothing about the target.
            if !lease.is_reused {
                running.note(false);
            }
            return Err(SendFailure::new(SendFailureKind::Broken, "broken"));
        }
        Err(_) => {
            running.silent();
            return Err(SendFailure::new(SendFailureKind::Unknown, "silent"));
        }
    };
    if is_direct {
        let now = gateway.now();
        gateway.state().reach.note_received(now, &terms.service);
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
    check_answer(gateway, call, terms, run, is_continuation)
}

/// Why there is no connection for a call.
enum LeaseFailure {
    Path(PathFailure),
    /// The connection does not lead, or no longer, to the incarnation that the list names.
    OtherStart,
}

/// Returns a connection to a target. A call that goes on elsewhere needs software of one version,
/// and an instance that is out of step, or an outage of the store, hides that a target is back under
/// its name with another one; so the target itself is asked.
async fn lease_for_call(
    gateway: &Arc<Gateway>,
    wait_limit: &WaitLimit<'_>,
    choice: &Choice,
) -> Result<Lease, LeaseFailure> {
    let service = &wait_limit.terms.service;
    let leasing = || async { paths::lease(gateway, service, choice).await };
    let mut lease = leasing().await.map_err(LeaseFailure::Path)?;
    if wait_limit.call.work.software_version.is_none() {
        return Ok(lease);
    }
    let mut check = check_start(gateway, &mut lease, choice).await;
    if check == StartCheck::Unanswered && lease.is_reused {
        // Targets close idle connections, which says nothing of the target.
        lease = leasing().await.map_err(LeaseFailure::Path)?;
        check = check_start(gateway, &mut lease, choice).await;
    }
    match check {
        StartCheck::Listed | StartCheck::Untold if lease.is_reusable().await => Ok(lease),
        StartCheck::Untold => leasing().await.map_err(LeaseFailure::Path),
        StartCheck::Other(start) => {
            if Some(start) > choice.incarnation {
                let now = gateway.now();
                gateway.state().target_table.leave(now, &choice.identity());
            }
            Err(LeaseFailure::OtherStart)
        }
        StartCheck::Listed => Err(LeaseFailure::OtherStart),
        StartCheck::Unanswered => Err(LeaseFailure::Path(PathFailure::Unreachable)),
    }
}

/// Returns what the caller asks for, or leaves out, that may have made a target refuse the call;
/// `None` if it was not refused, or for a reason of the target's.
fn unmet_cause(call: &OutboundCall, run: &Run) -> Option<&'static str> {
    let is_bad = run.parts.status == StatusCode::BAD_REQUEST;
    match run.head.handling {
        Handling::Misdirected if call.work.weights.is_some() => Some(OTHER_WEIGHTS),
        Handling::NotRun if call.id.is_none() && is_bad => Some(NO_ID),
        _ => None,
    }
}

/// Waits for an answer on a direct connection, and has the path checked while none arrives.
async fn check_if_silent<T>(
    gateway: &Arc<Gateway>,
    terms: &Terms,
    choice: &Choice,
    is_direct: bool,
    answering: impl Future<Output = T>,
) -> T {
    let mut answering = pin!(answering);
    let sent_at = gateway.now();
    let interval = terms.route.objective.max(SILENCE_MIN);
    loop {
        match timeout(interval, answering.as_mut()).await {
            Ok(answer) => return answer,
            Err(_) if is_direct => paths::check_silence(gateway, &terms.service, choice, sent_at),
            Err(_) => {}
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

/// Checks that an answer belongs to this call and shows that the call was executed.
fn check_answer(
    gateway: &Gateway,
    call: &OutboundCall,
    terms: &Terms,
    mut run: Run,
    is_continuation: bool,
) -> Result<Run, SendFailure> {
    // Nothing in such a head is the target's word.
    if !is_final_status(run.parts.status) {
        run.running.note(false);
        return Err(SendFailure::new(
            SendFailureKind::Unknown,
            "unexpected_status",
        ));
    }
    let unmet = unmet_cause(call, &run);
    if unmet.is_some() {
        run.head.handling = Handling::Unmet;
    }
    let choice = &run.running.choice;
    let is_own = run.head.id.is_none() || call.id.is_none() || run.head.id == call.id;
    answer_signals::handle_head(gateway, &terms.service, &run.head, &run.running, is_own);
    if let Some(load) = run.head.load {
        let now = gateway.now();
        let mut state = gateway.state();
        state.target_table.report(now, choice, load);
    }
    // A late answer to an earlier call may arrive where the next one is expected. Passing it on
    // would give this caller another caller's answer. The connection is closed with the run.
    if !is_own {
        run.running.note(false);
        return Err(SendFailure::new(SendFailureKind::Unknown, "foreign_answer"));
    }
    if run.head.handling == Handling::Misdirected {
        let now = gateway.now();
        gateway.state().target_table.leave(now, &choice.identity());
        return Err(SendFailure::new(SendFailureKind::NotRun, "misdirected"));
    }
    if let Some(cause) = unmet {
        return Err(SendFailure::new(SendFailureKind::NotRun, cause));
    }
    if run.head.handling == Handling::NotRun {
        // A target that has no copy of a run serves other calls as well as before.
        if !is_continuation {
            run.running.note(false);
            let now = gateway.now();
            let table = &mut gateway.state().target_table;
            table.rejected(now, &choice.identity());
        }
        return Err(SendFailure::new(SendFailureKind::NotRun, "rejected"));
    }
    if run.parts.status.is_success() && !run.head.is_signed {
        run.running.note(false);
        return Err(SendFailure::new(
            SendFailureKind::Unknown,
            "unsigned_answer",
        ));
    }
    Ok(run)
}
