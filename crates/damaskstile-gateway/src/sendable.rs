//! `sendable` is a call as it goes to any target.

use bytes::Bytes;
use damaskstile_targets::Work;
use http::{HeaderMap, Method, Uri};

/// `Sendable` is a call as it goes to any target.
#[derive(Debug, Clone)]
pub struct Sendable {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// Body, unchanged.
    pub body: Bytes,
    /// The caller's name of the attempt.
    pub id: Option<String>,
    /// What it asks of a target.
    pub work: Work,
}
