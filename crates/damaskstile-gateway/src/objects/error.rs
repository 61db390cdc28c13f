//! `error` tells what became of a call to the store that brought no result.

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

/// `StoreResult` has the store's error.
pub type StoreResult<T> = Result<T, StoreError>;
