//! Objects of the store.

use bytes::Bytes;
use damaskstile_core::prelude::*;

/// `StoredObject` is an object of the store with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredObject {
    /// Name within its kind.
    pub name: String,
    /// Version of its last change.
    pub version: Version,
    /// Content, as JSON.
    pub content: Bytes,
}
