//! Calls to the platform's object store, and their answers.

use serde::{Deserialize, Serialize};

use crate::ids::Version;
pub use crate::object::Object;

/// `StoreCall` is one call to the platform's object store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Reads an object.
    Read {
        /// Key of the object.
        key: String,
    },
    /// Writes an object if it has the expected version.
    Write {
        /// Key of the object.
        key: String,
        /// Version that the object must have; 0 creates the object.
        expected_version: Version,
        /// New value.
        value: String,
    },
}

/// `StoreAnswer` is the answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreAnswer {
    /// The object was read; `None` if it does not exist.
    Found(Option<Object>),
    /// The write took effect.
    Written {
        /// Version of the object after the write.
        version: Version,
    },
    /// The write did not take effect, because the object has another version. Holds the object, or
    /// `None` if it does not exist.
    Conflict(Option<Object>),
    /// No answer was received. A write may or may not have taken effect, and may still do so.
    Lost,
}
