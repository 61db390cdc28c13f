//! Reservation of tokens from a grant for a run.

use serde::{Deserialize, Serialize};

/// `Draw` is the part of a run's worst-case cost that is reserved from one grant.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Draw {
    /// Id of the grant.
    #[prost(string, tag = "1")]
    pub grant: String,
    /// Number of tokens reserved from the grant.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}
