//! `sendable` is a call as it goes to any target.

use bytes::Bytes;
use damaskstile_requests::Content;
use damaskstile_targets::Work;
use http::{HeaderMap, Method, Uri, header};

/// Bytes of a call's head, with those of the packets that carry it.
const HEAD_BYTES: usize = 1_000;

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

impl Sendable {
    /// Returns about how many bytes it takes on a link.
    #[must_use]
    pub fn link_bytes(&self) -> usize {
        self.body.len() + HEAD_BYTES
    }

    /// Returns what it asks for, for a client account.
    #[must_use]
    pub fn content<'a>(&'a self, account: Option<&'a str>) -> Content<'a> {
        let host = self.headers.get(header::HOST);
        let path = self.uri.path_and_query();
        Content {
            account: account.unwrap_or_default(),
            method: self.method.as_str(),
            host: host.and_then(|host| host.to_str().ok()).unwrap_or_default(),
            path: path.map_or_else(|| self.uri.path(), |path| path.as_str()),
            body: &self.body,
        }
    }
}
