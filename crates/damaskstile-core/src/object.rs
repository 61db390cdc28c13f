//! `object` holds a stored value with its version.

use serde::{Deserialize, Serialize};

use crate::ids::Version;

/// `Object` is a stored value with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Version; it goes up with every write of the object.
    pub version: Version,
    /// Value, at most 1 MB.
    pub value: String,
}
