//! `store` describes the platform's object API as the decisions see it.

use serde::{Deserialize, Serialize};

use crate::ids::Version;
pub use crate::object::Object;

/// `StoreCall` is one call to the platform's object API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreCall {
    /// Reads an object.
    Read {
        /// Key of the object.
        key: String,
    },
    /// Writes an object if its version is the expected one.
    Write {
        /// Key of the object.
        key: String,
        /// Version that must stand; 0 creates the object.
        expected_version: Version,
        /// New value.
        value: String,
    },
}

/// `StoreAnswer` is what came back from a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreAnswer {
    /// The object as it was read; `None` where there is none.
    Found(Option<Object>),
    /// The write took effect and gave the object this version.
    Written {
        /// Version after the write.
        version: Version,
    },
    /// The write did not take effect: another version stands.
    Conflict(Option<Object>),
    /// No answer. A write may or may not have taken effect, now or later.
    Lost,
}
