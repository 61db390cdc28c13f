//! `reply` makes the answers of an instance's own.

use bytes::Bytes;
use damaskstile_core::prelude::*;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::gateway::Gateway;

/// `ReplyBody` is the body of an answer; an error in it breaks the connection off, so that a cut
/// answer never looks whole.
pub type ReplyBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Wait that is advised where another instance can serve the call now: none.
pub const RETRY_AT_ONCE: Duration = Duration::ZERO;
/// Wait that is advised where the cause passes as soon as a message or two went round.
pub const RETRY_SOON: Duration = Duration::from_millis(200);
/// Wait that is advised where instances or targets have to come back.
pub const RETRY_LATER: Duration = Duration::from_millis(600);

/// Wait that is advised where only a top-up helps. Operators make one within minutes at best, so
/// coming back sooner would be refused again.
pub const RETRY_AFTER_TOP_UP: Duration = Duration::from_secs(5);

/// `Refusal` is an answer of this instance's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// Whether the call may have run.
    pub has_run: bool,
    /// When coming back may help.
    pub retry_after: Option<Duration>,
}

#[derive(Debug, Serialize)]
struct RefusalBody {
    code: &'static str,
    outcome: &'static str,
}

impl Refusal {
    /// Makes the refusal of a call that has not run and never will.
    #[must_use]
    pub fn not_run(code: RefusalCode, retry_after: Option<Duration>) -> Self {
        Self {
            code,
            has_run: false,
            retry_after,
        }
    }

    /// Makes the answer to a call that may have run.
    #[must_use]
    pub fn unknown(code: RefusalCode) -> Self {
        Self {
            code,
            has_run: true,
            retry_after: None,
        }
    }

    /// Returns the status. Only those that promise that the call has not run are used for it.
    ///
    /// ```
    /// use damaskstile_core::codes::RefusalCode;
    /// use damaskstile_gateway::reply::Refusal;
    /// let refusal = Refusal::not_run(RefusalCode::DeadlineExceeded, None);
    /// assert_eq!(refusal.status(), 503);
    /// assert_eq!(Refusal::unknown(RefusalCode::DeadlineExceeded).status(), 504);
    /// ```
    #[must_use]
    pub fn status(&self) -> StatusCode {
        if self.has_run {
            return match self.code {
                RefusalCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::BAD_GATEWAY,
            };
        }
        match self.code {
            RefusalCode::UnknownAccount => StatusCode::UNAUTHORIZED,
            RefusalCode::UnknownRoute => StatusCode::NOT_FOUND,
            RefusalCode::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            RefusalCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalCode::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            RefusalCode::BadRequest => StatusCode::BAD_REQUEST,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Makes the answer.
    #[must_use]
    pub fn reply(&self, gateway: &Gateway, id: Option<&str>) -> Response<ReplyBody> {
        let body = RefusalBody {
            code: self.code.as_str(),
            outcome: if self.has_run {
                "outcome_unknown"
            } else {
                "not_run"
            },
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(whole(Bytes::from(body)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        *headers = gateway.dialect.own_answer(id);
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let retry_after = self
            .retry_after
            .and_then(|wait| HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64())).ok());
        if let Some(retry_after) = retry_after {
            headers.insert(header::RETRY_AFTER, retry_after);
        }
        response
    }
}

/// Makes a body that is there as a whole.
#[must_use]
pub fn whole(bytes: Bytes) -> ReplyBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
