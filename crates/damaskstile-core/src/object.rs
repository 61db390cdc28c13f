//! Objects of the store.

use serde::{Deserialize, Serialize};

use crate::ids::Version;

/// `Object` is a stored value with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Object {
    /// Version, which increases with every write of the object.
    pub version: Version,
    /// Value, at most 1 MB.
    pub value: String,
}
