//! `errors` holds the error of the borders: bytes that cannot be taken in.

use std::fmt;

/// `Error` tells what was wrong with an input at a border.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The input has not the form that was expected.
    Malformed(String),
    /// The input has the right form and breaks a rule.
    Invalid(String),
}

/// `Result` has this crate's error.
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

/// Makes the error for an input of the wrong form.
///
/// # Errors
///
/// Always returns the error; that is its use.
#[cold]
pub fn malformed_error<T>(what: impl fmt::Display) -> Result<T> {
    Err(Error::Malformed(what.to_string()))
}

/// Makes the error for an input that breaks a rule.
///
/// # Errors
///
/// Always returns the error; that is its use.
#[cold]
pub fn invalid_error<T>(what: impl fmt::Display) -> Result<T> {
    Err(Error::Invalid(what.to_string()))
}
