//! Builds responses; those of failed requests are problem details (`application/problem+json`).

use damaskstile::core::codes::RefusalCode;
use damaskstile::core::outcome::Outcome;
use dropshot::{Body, HttpError};
use http::{Response, StatusCode};
use serde_json::{Value, json};

/// Result of an HTTP handler.
pub type HandlerResult = Result<Response<Body>, HttpError>;

/// Returns the HTTP status of a refusal code.
pub fn status(code: RefusalCode) -> StatusCode {
    match code {
        RefusalCode::UnknownAccount => StatusCode::UNAUTHORIZED,
        RefusalCode::UnknownService | RefusalCode::UnknownRoute => StatusCode::NOT_FOUND,
        RefusalCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalCode::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
        RefusalCode::BadRequest | RefusalCode::BadKey => StatusCode::BAD_REQUEST,
        RefusalCode::NoTargetOfWeights => StatusCode::MISDIRECTED_REQUEST,
        RefusalCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalCode::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
        RefusalCode::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalCode::AlreadyRan | RefusalCode::InProgress => StatusCode::CONFLICT,
        RefusalCode::TargetLost | RefusalCode::AnswerSpoiled => StatusCode::BAD_GATEWAY,
        RefusalCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        RefusalCode::BudgetUnreachable
        | RefusalCode::BudgetReserved
        | RefusalCode::NoTarget
        | RefusalCode::NoTargetInRegion
        | RefusalCode::NoTargetOfVersion
        | RefusalCode::UnknownStream
        | RefusalCode::TargetsUnreachable
        | RefusalCode::BillsBacklog
        | RefusalCode::ClaimUnavailable
        | RefusalCode::CrashesTargets
        | RefusalCode::Stopping
        | RefusalCode::Starting
        | RefusalCode::RetriesExhausted => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Response to a request that failed or was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body.
    pub body: Value,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after_s: Option<u64>,
}

impl Problem {
    /// Converts an outcome; returns `None` if the request was answered.
    pub fn from_outcome(outcome: &Outcome, key: &str) -> Option<Self> {
        let (name, code, retry_after) = match outcome {
            Outcome::Answered(_) => return None,
            Outcome::NotRun { code, retry_after } => ("not_run", *code, *retry_after),
            Outcome::Unknown {
                code, retry_after, ..
            } => ("outcome_unknown", *code, *retry_after),
        };
        // Rounded up, at least to 1, since the header takes whole seconds.
        let retry_after_s = retry_after
            .map(|wait| wait.as_secs() + u64::from(wait.subsec_nanos() > 0))
            .map(|seconds| seconds.max(1));
        Some(Self::new(name, code, key, retry_after_s))
    }

    fn new(outcome: &str, code: RefusalCode, key: &str, retry_after_s: Option<u64>) -> Self {
        let status = status(code);
        let body = json!({
            "type": format!("urn:damaskstile:{}", code.as_str()),
            "title": code.as_str().replace('_', " "),
            "status": status.as_u16(),
            "outcome": outcome,
            "code": code.as_str(),
            "key": key,
            "retry_after_s": retry_after_s,
        });
        Self {
            status,
            body,
            retry_after_s,
        }
    }

    /// Creates the problem of a call that was refused before it reached the instance.
    pub fn not_run(code: RefusalCode, detail: &str) -> Self {
        let retry_after_s = (code == RefusalCode::Overloaded).then_some(1);
        let mut problem = Self::new("not_run", code, "", retry_after_s);
        problem.body["detail"] = json!(detail);
        problem
    }

    /// Converts the problem to an HTTP response.
    pub fn to_response(&self, key: &str) -> HandlerResult {
        let mut response = Response::builder()
            .status(self.status)
            .header("content-type", "application/problem+json");
        if !key.is_empty() {
            response = response.header("idempotency-key", key);
        }
        if let Some(seconds) = self.retry_after_s {
            response = response.header("retry-after", seconds.to_string());
        }
        with_body(response, self.body.to_string())
    }
}

/// Completes a response with its body.
pub fn with_body(response: http::response::Builder, body: impl Into<Body>) -> HandlerResult {
    response
        .body(body.into())
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

/// Builds a 200 response with a JSON body.
pub fn json_response(value: &Value) -> HandlerResult {
    let response = Response::builder()
        .status(StatusCode::OK)
        .header("content-type", "application/json");
    with_body(response, value.to_string())
}
