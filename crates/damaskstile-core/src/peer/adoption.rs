//! Ledger entry of a received transfer.

use serde::{Deserialize, Serialize};

/// `Adoption` is a transfer of tokens, as its recipient enters it in the ledger.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Adoption {
    /// Id of the transfer, which becomes the id of the recipient's grant.
    #[prost(string, tag = "1")]
    pub transfer: String,
    /// Grant of the sender that the tokens were taken from.
    #[prost(string, tag = "2")]
    pub from_grant: String,
    /// Number of tokens transferred.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
    /// Name of the recipient.
    #[prost(string, tag = "4")]
    pub holder: String,
    /// Incarnation of the recipient.
    #[prost(fixed64, tag = "5")]
    pub incarnation: u64,
}
