//! `limits` bounds what a caller may send and how long it may take.

use damaskstile_core::prelude::*;

/// `Limits` bounds what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a call.
    pub header_bytes: usize,
    /// Largest body of a call.
    pub body_bytes: usize,
    /// Time that a caller may take to send a head.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The usual figures of HTTP servers, for the time before operators have set theirs.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
