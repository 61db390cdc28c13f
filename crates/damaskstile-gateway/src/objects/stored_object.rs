//! `stored_object` is an object of the store.

use bytes::Bytes;
use damaskstile_core::prelude::*;

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
