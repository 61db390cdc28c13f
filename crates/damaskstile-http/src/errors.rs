//! `errors` tells apart calls that cannot have reached the other side from those that may have.

use std::fmt;

/// `Error` tells how far a call got before it failed.
#[derive(Debug)]
pub enum Error {
    /// The call could not be made up: a bad address, path or header.
    Invalid(String),
    /// No connection was made; no byte of the call has left.
    NotConnected(std::io::Error),
    /// The call was sent, in whole or in part, and then failed.
    Broken(String),
    /// The call was sent, in whole or in part, and then nothing came for too long.
    Silent,
    /// The other side answered with something that it should not.
    Unexpected {
        /// HTTP status.
        status: u16,
        /// Body, as far as it is text.
        body: String,
    },
}

/// `Result` has this crate's error.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(what) => write!(f, "invalid call: {what}"),
            Self::NotConnected(error) => write!(f, "no connection: {error}"),
            Self::Broken(what) => write!(f, "call broken off: {what}"),
            Self::Silent => write!(f, "call broken off: no answer in time"),
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
