//! A call in the form in which it can be sent to any target.

use bytes::Bytes;
use damaskstile_requests::Content;
use damaskstile_targets::Work;
use http::{HeaderMap, Method, Uri, header};

/// Estimated size of a call's head and of the packet headers that carry it.
const HEAD_BYTES: usize = 1_000;

/// A call in the form in which it can be sent to any target, repeatedly if need be.
#[derive(Debug, Clone)]
pub struct OutboundCall {
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// Body, unchanged.
    pub body: Bytes,
    /// The caller's id of the attempt.
    pub id: Option<String>,
    /// Tokens and placement that the call asks of a target.
    pub work: Work,
}

impl OutboundCall {
    /// Returns the approximate number of bytes that the call takes on the link.
    #[must_use]
    pub fn link_bytes(&self) -> usize {
        self.body.len() + HEAD_BYTES
    }

    /// Returns the content of the call that is checked for crashes of targets, for a client
    /// account.
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
