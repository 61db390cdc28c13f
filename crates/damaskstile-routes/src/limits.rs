//! Limits of size and time for callers.

use damaskstile_core::prelude::*;

use crate::bounds::{BODY_BYTES_MAX, DURATION_MAX, HEADER_BYTES_MAX};

/// `Limits` bounds what a caller may send and how long it may take to send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the header section of a call, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body of a call, in bytes.
    pub body_bytes: usize,
    /// Time within which a caller must send the header section.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Limits {
    /// Returns the limits, lowered to the bounds of a catalogue.
    pub(crate) fn bounded(self) -> Self {
        Self {
            header_bytes: self.header_bytes.min(HEADER_BYTES_MAX),
            body_bytes: self.body_bytes.min(BODY_BYTES_MAX),
            header_timeout: self.header_timeout.min(DURATION_MAX),
            idle_timeout: self.idle_timeout.min(DURATION_MAX),
        }
    }
}

impl Default for Limits {
    /// Returns the usual values of HTTP servers, which apply until operators set others.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
