//! Results of lists and watches of the store.

use damaskstile_core::prelude::*;

use super::StoredObject;

/// `Listing` holds all objects of a kind at one version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<StoredObject>,
    /// Version from which to watch.
    pub version: Version,
}

/// `Change` is one change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The object was created or changed to this state.
    Put(StoredObject),
    /// The object of that name was deleted.
    Gone(String),
}
