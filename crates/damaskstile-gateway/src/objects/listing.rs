//! `listing` is what a list or a watch of the store shows.

use damaskstile_core::prelude::*;

use super::StoredObject;

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
