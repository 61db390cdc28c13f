//! The content of a call: what it asks for, independent of its id and of the instance it reached.

/// `Content` is what a call asks for. Repeats of a call under other ids have the same content.
#[derive(Debug, Clone, Copy)]
pub struct Content<'a> {
    /// Client account; empty for calls without one.
    pub account: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller addressed.
    pub host: &'a str,
    /// Request path with its query.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
}
