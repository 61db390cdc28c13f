//! Answers that an instance makes itself.

use bytes::Bytes;
use damaskstile_core::prelude::*;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::gateway::Gateway;

/// Body of an answer. An error in it breaks the connection, so that a truncated answer never looks
/// complete.
pub type ReplyBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Advised wait if another instance can serve the call now: none.
pub const RETRY_AT_ONCE: Duration = Duration::ZERO;
/// Advised wait if the cause passes after a message round trip or two.
pub const RETRY_SOON: Duration = Duration::from_millis(200);
/// Advised wait if instances or targets have to come back first.
pub const RETRY_LATER: Duration = Duration::from_millis(600);

/// Advised wait if only a top-up helps. Operators take minutes at best to make one, so earlier
/// retries would be refused again.
pub const RETRY_AFTER_TOP_UP: Duration = Duration::from_secs(5);

/// An answer that this instance makes itself instead of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub code: RefusalCode,
    /// Whether the call may have been executed.
    pub has_run: bool,
    /// Advised wait before a retry.
    pub retry_after: Option<Duration>,
}

#[derive(Debug, Serialize)]
struct RefusalBody {
    code: &'static str,
    outcome: &'static str,
}

impl Refusal {
    /// Creates the refusal of a call that was not executed and will not be.
    #[must_use]
    pub fn not_run(code: RefusalCode, retry_after: Option<Duration>) -> Self {
        Self {
            code,
            has_run: false,
            retry_after,
        }
    }

    /// Creates the answer to a call that may have been executed.
    #[must_use]
    pub fn unknown(code: RefusalCode) -> Self {
        Self {
            code,
            has_run: true,
            retry_after: None,
        }
    }

    /// Returns the HTTP status. Statuses that guarantee that the call was not executed are used for
    /// nothing else.
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
            // What a target answers that has other weights.
            RefusalCode::NoTargetOfWeights => StatusCode::MISDIRECTED_REQUEST,
            RefusalCode::BadRequest => StatusCode::BAD_REQUEST,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Builds the HTTP response.
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
        let mut response = Response::new(full_body(Bytes::from(body)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        *headers = gateway.dialect.own_answer_headers(id);
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

/// Creates a body from bytes that are all available.
#[must_use]
pub fn full_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
