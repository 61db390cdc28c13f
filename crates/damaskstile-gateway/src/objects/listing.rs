//! Results of lists and watches of the store.

use damaskstile_core::prelude::*;

use super::StoredObject;

/// `Listing` holds all objects of a kind at one version of the store, or those up to a name if it
/// could not be read to its end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<StoredObject>,
    /// Version from which to watch.
    pub version: Version,
    /// Name after which nothing could be read; `None` if the listing is complete. Objects with later
    /// names may exist.
    pub unread_after: Option<String>,
}

impl Listing {
    /// Returns whether the listing tells that there is no object of a name, unless it contains one.
    ///
    /// ```
    /// use damaskstile_gateway::objects::Listing;
    /// let listing = Listing { unread_after: Some("m".to_owned()), ..Listing::default() };
    /// assert!(listing.covers("a") && !listing.covers("z"));
    /// ```
    #[must_use]
    pub fn covers(&self, name: &str) -> bool {
        let unread_after = self.unread_after.as_deref();
        unread_after.is_none_or(|last| name <= last)
    }
}

/// `Change` is one change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The object was created or changed to this state.
    Put(StoredObject),
    /// The object of that name was deleted.
    Gone(String),
}
