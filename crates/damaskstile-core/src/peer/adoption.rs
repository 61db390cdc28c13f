//! `adoption` holds a transfer as the ledger enters it.

use serde::{Deserialize, Serialize};

/// `Adoption` is a transfer as its taker enters it in the ledger.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Adoption {
    /// The transfer; it becomes the id of the taker's grant.
    #[prost(string, tag = "1")]
    pub transfer: String,
    /// Grant that the tokens come from.
    #[prost(string, tag = "2")]
    pub from_grant: String,
    /// Tokens handed over.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Taker.
    #[prost(string, tag = "4")]
    pub holder: String,
    /// Incarnation of the taker.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
}
