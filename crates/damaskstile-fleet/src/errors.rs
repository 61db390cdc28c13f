//! `errors` holds the errors of settings.

use std::fmt;

/// `Error` tells which setting is wrong, what was found and what was expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Path of the key, such as `account.moffat.budget`.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

/// `Result` has this crate's error.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "key `{}`: found {}, expected {}",
            self.key, self.found, self.expected
        )
    }
}

impl std::error::Error for Error {}

/// Makes the error for one setting.
///
/// # Errors
///
/// Always returns the error; that is its use.
#[cold]
pub fn setting_error<T>(
    key: impl Into<String>,
    found: impl fmt::Display,
    expected: impl Into<String>,
) -> Result<T> {
    Err(Error {
        key: key.into(),
        found: found.to_string(),
        expected: expected.into(),
    })
}
