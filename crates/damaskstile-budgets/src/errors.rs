//! `errors` holds the errors of ledgers.

use std::fmt;

/// `Error` tells why a stored ledger cannot be used.
#[derive(Debug)]
pub enum Error {
    /// The value is no ledger.
    Malformed(serde_json::Error),
    /// More is granted and spent than was topped up.
    Overdrawn {
        /// Tokens topped up.
        topped_up_tokens: u64,
        /// Tokens settled and outstanding.
        committed_tokens: u64,
    },
    /// A grant has more spent than granted.
    GrantOverspent(String),
}

/// `Result` has this crate's error.
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
                "ledger commits {committed_tokens} tokens of {topped_up_tokens} topped up"
            ),
            Self::GrantOverspent(grant) => write!(f, "grant {grant} is overspent"),
        }
    }
}

impl std::error::Error for Error {}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Malformed(error)
    }
}
