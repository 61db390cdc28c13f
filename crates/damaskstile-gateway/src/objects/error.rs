//! Errors of calls to the store.

use std::fmt;

use super::StoredObject;

/// `StoreError` is the reason why a call to the store brought no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store refused the call; nothing was done.
    NotDone(String),
    /// No clear answer: a write may have taken effect, or may yet.
    Lost(String),
    /// The changes since the given version are no longer available; list again.
    Outdated,
    /// The object has another version; contains the object unless it does not exist.
    Conflict(Option<StoredObject>),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(cause) => write!(f, "the store refused the call: {cause}"),
            Self::Lost(cause) => write!(f, "no clear answer from the store: {cause}"),
            Self::Outdated => f.write_str("the requested version is no longer available"),
            Self::Conflict(_) => f.write_str("the object has a different version"),
        }
    }
}

/// Result of a call to the store.
pub type StoreResult<T> = Result<T, StoreError>;
