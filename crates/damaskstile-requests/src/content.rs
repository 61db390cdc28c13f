//! `content` is what a call asks for, whoever takes it and under whatever id.

/// `Content` is what a call asks for.
#[derive(Debug, Clone, Copy)]
pub struct Content<'a> {
    /// Client account; empty for calls without one.
    pub account: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host that was called.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}
