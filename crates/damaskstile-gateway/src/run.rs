//! Sends a call to one target and waits for the head of its answer.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_requests::SendFailureKind;
use damaskstile_targets::Choice;
use http::response;

use crate::answer::AnswerHead;
use crate::answer_body::AnswerBody;
use crate::caller_connection::CallerConnection;
use crate::gateway::Gateway;
use crate::lease::Lease;
use crate::prepared_send::PreparedSend;
use crate::running::Running;
use crate::send_options::SendOptions;
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

/// Cause of a send whose target refused the connection.
pub(crate) const CONNECT_REFUSED: &str = "connect_refused";
/// Cause of a send whose connection leads to no listed incarnation.
pub(crate) const OTHER_START: &str = "other_start";
/// Cause of a send whose target did not answer the query for its start.
pub(crate) const START_UNANSWERED: &str = "start_unanswered";
/// Cause of a send whose connection was not made in time.
pub(crate) const CONNECT_TIMEOUT: &str = "connect_timeout";
/// Cause of a send whose target refused it as it may lack the weights that the caller expects.
pub(crate) const OTHER_WEIGHTS: &str = "other_weights";
/// Cause of a send whose target refused it because the caller gave it no id.
pub(crate) const NO_ID: &str = "no_id";

impl SendFailure {
    /// The target did not answer in time.
    pub(crate) const SILENT: Self = Self::new(SendFailureKind::Unknown, "silent");

    pub(crate) const fn new(end: SendFailureKind, cause: &'static str) -> Self {
        Self { end, cause }
    }

    /// Returns the failure for a caller that must not follow up the broken connection once more.
    pub(crate) fn followed_up(self) -> Self {
        match self.end {
            SendFailureKind::Broken => Self::new(SendFailureKind::Unknown, self.cause),
            _ => self,
        }
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

    /// Returns whether no connection to the target could be made, or none on which it answers.
    pub(crate) fn is_unreachable(self) -> bool {
        [CONNECT_REFUSED, CONNECT_TIMEOUT, START_UNANSWERED].contains(&self.cause)
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
    let until = wait_limit.until();
    let prepared = PreparedSend::connect(gateway, wait_limit, until, choice, options).await?;
    prepared.run(gateway, caller, wait_limit, until).await
}
