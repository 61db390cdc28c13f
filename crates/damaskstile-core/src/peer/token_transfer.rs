//! Transfer of tokens to a peer.

use serde::{Deserialize, Serialize};

use super::adoption::Adoption;

/// `TokenTransfer` transfers tokens to a peer. The sender has already deducted them from its own.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TokenTransfer {
    /// Number of the request that this answers.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// Budget that the tokens belong to.
    #[prost(string, tag = "2")]
    pub budget: String,
    /// Id of the transfer, which becomes the id of the recipient's grant.
    #[prost(string, tag = "3")]
    pub transfer: String,
    /// Grant of the sender that the tokens were taken from.
    #[prost(string, tag = "4")]
    pub grant: String,
    /// Number of tokens transferred; 0 if the sender has none to spare.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
    /// Earlier transfers of the same tokens that the ledger may lack, oldest first.
    #[prost(message, repeated, tag = "6")]
    pub origins: Vec<Adoption>,
}
