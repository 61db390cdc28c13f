//! Failures of commands and their exit codes.

use std::fmt;

/// Reason why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The input was rejected.
    Refused(String),
    /// Another operator changed the same object first.
    Conflict(String),
    /// The platform, an instance or a target gave no usable answer; a change may have taken effect.
    NoAnswer(String),
    /// The named object does not exist.
    NotFound(String),
    /// A comparison found differences, stored data is inconsistent, or a replayed trace did not meet
    /// its expectations.
    Different(String),
}

impl Failure {
    /// Returns the exit code of the process. Code 2 is not used here: `clap` exits with it on wrong
    /// usage.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) => 1,
            Self::Conflict(_) => 3,
            Self::NoAnswer(_) => 4,
            Self::NotFound(_) => 5,
            Self::Different(_) => 6,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(message) => write!(f, "refused: {message}"),
            Self::Conflict(message) => write!(f, "another change came first: {message}"),
            Self::NoAnswer(message) => write!(f, "no answer: {message}"),
            Self::NotFound(message) => write!(f, "not found: {message}"),
            Self::Different(message) => write!(f, "{message}"),
        }
    }
}

impl From<damaskstile_http::Error> for Failure {
    fn from(error: damaskstile_http::Error) -> Self {
        Self::NoAnswer(error.to_string())
    }
}

impl From<damaskstile::fleet::Error> for Failure {
    fn from(error: damaskstile::fleet::Error) -> Self {
        Self::Refused(error.to_string())
    }
}

impl From<serde_json::Error> for Failure {
    fn from(error: serde_json::Error) -> Self {
        Self::Refused(error.to_string())
    }
}
