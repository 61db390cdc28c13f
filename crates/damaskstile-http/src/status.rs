//! Check of the status of answers.

use http::StatusCode;

/// Returns whether a status ends a call: RFC 9110, section 15, knows none outside of 100 to 599, and
/// an informational one is not final.
///
/// ```
/// use damaskstile_http::is_final_status;
/// use http::StatusCode;
/// assert!(is_final_status(StatusCode::NOT_FOUND));
/// assert!(!is_final_status(StatusCode::CONTINUE));
/// assert!(!is_final_status(StatusCode::from_u16(600).unwrap()));
/// ```
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error()
}
