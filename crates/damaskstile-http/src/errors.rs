//! Errors of calls; they distinguish calls that were never sent from those that may have arrived.

use std::fmt;

/// Why a call failed, by how far it got.
#[derive(Debug)]
pub enum Error {
    /// The call could not be built, such as for an invalid path or header.
    Invalid(String),
    /// The connection failed; no byte of the call was sent.
    NotConnected(std::io::Error),
    /// The call failed after some or all of it may have been sent.
    Broken(String),
    /// The call timed out; some or all of it may have been sent.
    TimedOut,
    /// The server answered with an unexpected status.
    Unexpected {
        /// HTTP status.
        status: u16,
        /// Response body as text; empty if it was not read.
        body: String,
    },
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(what) => write!(f, "invalid call: {what}"),
            Self::NotConnected(error) => write!(f, "connection failed: {error}"),
            Self::Broken(what) => write!(f, "call failed after it may have been sent: {what}"),
            Self::TimedOut => write!(f, "call timed out: no answer in time"),
            Self::Unexpected { status, body } => write!(f, "status {status}: {body}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<hyper::Error> for Error {
    fn from(error: hyper::Error) -> Self {
        Self::Broken(error.to_string())
    }
}
