//! Check that a connection leads to the incarnation of a target that the list names.

use damaskstile_core::prelude::*;
use damaskstile_targets::Choice;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::lease::Lease;

/// Longest answer to the query, in bytes. It grows with the number of calls at the target.
const ANSWER_BYTES_MAX: usize = 256 * 1024;
/// Time limit of the answer once its head has arrived. A target that pauses sends no head.
const BODY_TIMEOUT: Duration = Duration::from_millis(400);

/// Which incarnation of a target a connection leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartCheck {
    /// The one that the list names.
    Listed,
    /// Another one, which started at this time.
    Other(TargetIncarnation),
    /// The target answers, and does not tell.
    Untold,
    /// The target gave no whole answer; nothing but the query was sent.
    Unanswered,
}

/// Asks a target when it started, and waits for its answer. A connection leads to one process, so what follows on it reaches
/// the incarnation that answered.
pub(crate) async fn check_start(
    gateway: &Gateway,
    lease: &mut Lease,
    choice: &Choice,
) -> StartCheck {
    let Some(path) = gateway
        .dialect
        .start_path()
        .filter(|_| choice.incarnation.is_some())
    else {
        return StartCheck::Untold;
    };
    match ask(gateway, lease, choice, path).await {
        Some(Some(start)) if Some(start) == choice.incarnation => StartCheck::Listed,
        Some(Some(start)) => StartCheck::Other(start),
        Some(None) => StartCheck::Untold,
        None => StartCheck::Unanswered,
    }
}

/// Returns the start that the target states, if any; `None` without an answer.
async fn ask(
    gateway: &Gateway,
    lease: &mut Lease,
    choice: &Choice,
    path: &'static str,
) -> Option<Option<TargetIncarnation>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().ok()?;
    let host = HeaderValue::from_str(&choice.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    let (head, body) = lease.send(request).await.ok()?.into_parts();
    let reading = Limited::new(body, ANSWER_BYTES_MAX).collect();
    let body = timeout(BODY_TIMEOUT, reading).await.ok()?.ok()?;
    let is_ok = head.status == StatusCode::OK;
    Some(
        gateway
            .dialect
            .read_start(&body.to_bytes())
            .filter(|_| is_ok),
    )
}
