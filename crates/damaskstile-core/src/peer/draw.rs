//! `draw` holds the part of a worst case that a grant covers.

use serde::{Deserialize, Serialize};

/// `Draw` is the part of a run's worst case that one grant covers.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Draw {
    /// The grant.
    #[prost(string, tag = "1")]
    pub grant: String,
    /// Tokens reserved out of it.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}
