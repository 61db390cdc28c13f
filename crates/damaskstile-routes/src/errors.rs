//! `errors` tells why a catalogue cannot be used.

use std::fmt;

/// `Error` tells why a catalogue cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Two routes have the same host and path prefix.
    RouteTwice(String),
    /// A route names a service that the catalogue does not hold.
    UnknownService(String),
    /// A path prefix does not begin and end with a slash.
    BadPrefix(String),
    /// Two client accounts have the same key.
    KeyTwice(String),
}

/// `Result` has this crate's error.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RouteTwice(route) => write!(f, "route {route} repeats a host and path prefix"),
            Self::UnknownService(name) => write!(f, "no service is named {name}"),
            Self::BadPrefix(prefix) => write!(f, "path prefix {prefix} lacks a slash at an end"),
            Self::KeyTwice(account) => write!(f, "a key of account {account} is another's too"),
        }
    }
}

impl std::error::Error for Error {}
