//! Errors of catalogues.

use std::fmt;

/// `Error` is the reason for which a catalogue is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Two routes have the same host and path prefix. Holds the name of the second one.
    DuplicateRoute(String),
    /// A route names a service that the catalogue does not contain. Holds the name of the service.
    UnknownService(String),
    /// A path prefix does not begin and end with a slash. Holds the prefix.
    InvalidPrefix(String),
    /// Two client accounts have the same key. Holds the name of the second account.
    DuplicateKey(String),
}

/// `Result` with the error of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DuplicateRoute(route) => write!(
                f,
                "route {route} has the same host and path prefix as another route"
            ),
            Self::UnknownService(name) => write!(f, "route refers to unknown service {name}"),
            Self::InvalidPrefix(prefix) => {
                write!(f, "path prefix {prefix} must begin and end with a slash")
            }
            Self::DuplicateKey(account) => write!(
                f,
                "a key of account {account} also belongs to another account"
            ),
        }
    }
}

impl std::error::Error for Error {}
