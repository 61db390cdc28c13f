//! Errors of settings.

use std::fmt;

/// `Error` describes an invalid setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Path of the key, such as `account.moffat.budget`.
    pub key: String,
    /// Value that was found.
    pub found: String,
    /// Description of the values that are accepted.
    pub expected: String,
}

/// `Result` with the error of this crate.
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

/// Returns the error of one setting.
///
/// # Errors
///
/// Always returns the error, so that callers can return the result directly.
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
