//! Errors of ledgers.

use std::fmt;

/// Reason why a ledger cannot be used.
#[derive(Debug)]
pub enum Error {
    /// The value cannot be parsed as a ledger, or the ledger cannot be serialised.
    Malformed(serde_json::Error),
    /// More tokens are committed than were topped up.
    Overdrawn {
        /// Tokens topped up.
        topped_up_tokens: u64,
        /// Tokens settled or outstanding.
        committed_tokens: u64,
    },
    /// A grant has more tokens spent than granted; holds the id of the grant.
    GrantOverspent(String),
}

/// Result type with the [`Error`] of this crate.
pub type Result<T> = std::result::Result<T, Error>;

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "malformed ledger: {error}"),
            Self::Overdrawn {
                topped_up_tokens,
                committed_tokens,
            } => write!(
                f,
                "ledger commits {committed_tokens} tokens but only {topped_up_tokens} are topped up"
            ),
            Self::GrantOverspent(grant) => {
                write!(f, "grant {grant} has more tokens spent than granted")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Malformed(error)
    }
}
