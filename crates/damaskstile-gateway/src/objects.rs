//! `objects` is the border to the platform's store.

use bytes::Bytes;
use damaskstile_core::prelude::*;
use futures_util::future::BoxFuture;

/// `StoredObject` is an object of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Name within its kind.
    pub name: String,
    /// Version of its last change.
    pub version: Version,
    /// What it holds, as JSON.
    pub content: Bytes,
}

/// `Listing` is all objects of a kind at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<StoredObject>,
    /// Version from which to watch on.
    pub version: Version,
}

/// `Change` is a change that a watch showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The object is as given.
    Put(StoredObject),
    /// The object of that name is gone.
    Gone(String),
}

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

/// `ObjectStore` makes calls to the platform's store.
pub trait ObjectStore: Send + Sync {
    /// Lists all objects of a kind.
    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, StoreResult<Listing>>;

    /// Waits for changes after a version; returns them with the version to watch on from.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, StoreResult<(Vec<Change>, Version)>>;

    /// Reads an object.
    fn read<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
    ) -> BoxFuture<'a, StoreResult<Option<StoredObject>>>;

    /// Writes an object that must have the expected version, or not exist where that is 0.
    /// Returns the version that the write made.
    fn write<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        expected_version: Version,
        content: Bytes,
    ) -> BoxFuture<'a, StoreResult<Version>>;
}
