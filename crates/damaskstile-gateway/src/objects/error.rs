//! `error` tells what became of a call to the store that brought no result.

use std::fmt;

use super::StoredObject;

/// `StoreError` tells what became of a call that brought no result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The store refused it; nothing was done.
    NotDone(String),
    /// No clear answer: a write may have taken effect, or may yet.
    Lost(String),
    /// The history from that version on is gone; list anew.
    Outdated,
    /// The object has another version; it is given, unless there is none.
    Conflict(Option<StoredObject>),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(cause) => write!(f, "not done: {cause}"),
            Self::Lost(cause) => write!(f, "no clear answer: {cause}"),
            Self::Outdated => f.write_str("the history is gone"),
            Self::Conflict(_) => f.write_str("the object has another version"),
        }
    }
}

/// `StoreResult` has the store's error.
pub type StoreResult<T> = Result<T, StoreError>;
