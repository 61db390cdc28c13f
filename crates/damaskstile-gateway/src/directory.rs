//! Interface to the routes and targets kept in the platform's store.

use damaskstile_core::ids::DataCentreId;
use damaskstile_routes::Catalogue;
use damaskstile_targets::Listed;

use crate::objects::StoredObject;

/// Parses stored objects into this workspace's types. The errors describe what is wrong with the
/// object.
pub trait Directory: Send + Sync {
    /// Kind under which the catalogue is stored.
    fn catalogue_kind(&self) -> &'static str;

    /// Kind under which targets are listed.
    fn targets_kind(&self) -> &'static str;

    /// Kind under which operators list evacuated data centres.
    fn evacuated_kind(&self) -> &'static str;

    /// Parses a catalogue; `None` for other objects of the same kind.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the object.
    fn catalogue(&self, object: &StoredObject) -> Result<Option<Catalogue>, String>;

    /// Parses a target's entry.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the object.
    fn target(&self, object: &StoredObject) -> Result<Listed, String>;

    /// Returns the evacuated data centre that an operator's entry names.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the name.
    fn evacuated(&self, name: &str) -> Result<DataCentreId, String>;
}
