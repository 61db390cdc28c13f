//! `directory` is the border to what the platform's store holds of routes and targets.

use damaskstile_core::ids::DataCentreId;
use damaskstile_routes::Catalogue;
use damaskstile_targets::Listed;

use crate::objects::StoredObject;

/// `Directory` reads stored objects as the project's own types. Errors say what is wrong.
pub trait Directory: Send + Sync {
    /// Kind under which the catalogue is stored.
    fn catalogue_kind(&self) -> &'static str;

    /// Kind under which targets are listed.
    fn targets_kind(&self) -> &'static str;

    /// Kind under which operators name emptied data centres.
    fn emptied_kind(&self) -> &'static str;

    /// Reads a catalogue; `None` for objects of the kind that are none.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the object.
    fn catalogue(&self, object: &StoredObject) -> Result<Option<Catalogue>, String>;

    /// Reads a target's entry.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the object.
    fn target(&self, object: &StoredObject) -> Result<Listed, String>;

    /// Reads which data centre is emptied, by the name of the operator's entry.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the name.
    fn emptied(&self, name: &str) -> Result<DataCentreId, String>;
}
