//! Interface to the platform's object store.

mod error;
mod listing;
mod stored_object;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use futures_util::future::BoxFuture;

pub use error::{StoreError, StoreResult};
pub use listing::{Change, Listing};
pub use stored_object::StoredObject;

/// `ObjectStore` is a client of the platform's object store.
///
/// Versions only increase, even when the store is restored from an older copy: those of a later
/// history are above those of all earlier ones. A watch or a write based on a version of an earlier
/// history fails as outdated or in conflict.
pub trait ObjectStore: Send + Sync {
    /// Returns the number of the history that the store was last seen in. It increases each time
    /// that the store is restored from an older copy of itself, which loses what was written there
    /// since the copy.
    fn history(&self) -> History {
        0
    }

    /// Lists all objects of a kind.
    fn list<'a>(&'a self, kind: &'a str) -> BoxFuture<'a, StoreResult<Listing>>;

    /// Waits for changes after a version; returns them with the version from which to continue.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Version,
        wait: Duration,
    ) -> BoxFuture<'a, StoreResult<(Vec<Change>, Version)>>;

    /// Checks that the store answers, by the cheapest available call.
    fn probe(&self) -> BoxFuture<'_, StoreResult<()>>;

    /// Reads an object.
    fn read<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
    ) -> BoxFuture<'a, StoreResult<Option<StoredObject>>>;

    /// Writes an object that must have the expected version, or must not exist if that is 0.
    /// Returns the new version.
    fn write<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        expected_version: Version,
        content: Bytes,
    ) -> BoxFuture<'a, StoreResult<Version>>;
}
