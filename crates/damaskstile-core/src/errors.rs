//! Errors of input from outside the process.

use std::fmt;

/// `Error` is the reason for which an input was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The input cannot be decoded.
    Malformed(String),
    /// The input can be decoded but breaks a rule.
    Invalid(String),
}

/// `Result` with the error of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "malformed: {what}"),
            Self::Invalid(what) => write!(f, "invalid: {what}"),
        }
    }
}

impl std::error::Error for Error {}

/// Returns the error for an input that cannot be decoded.
///
/// # Errors
///
/// Always returns the error, so that callers can return the result directly.
#[cold]
pub fn malformed_error<T>(what: impl fmt::Display) -> Result<T> {
    Err(Error::Malformed(what.to_string()))
}

/// Returns the error for an input that breaks a rule.
///
/// # Errors
///
/// Always returns the error, so that callers can return the result directly.
#[cold]
pub fn invalid_error<T>(what: impl fmt::Display) -> Result<T> {
    Err(Error::Invalid(what.to_string()))
}
