//! `give_tokens` holds the gift of tokens.

use serde::{Deserialize, Serialize};

use super::adoption::Adoption;

/// `GiveTokens` hands tokens over. The giver has already given them up.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GiveTokens {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub ask: u64,
    /// Budget.
    #[prost(string, tag = "2")]
    pub budget: String,
    /// Name of this transfer; the taker's grant bears it.
    #[prost(string, tag = "3")]
    pub transfer: String,
    /// Grant that the tokens come from.
    #[prost(string, tag = "4")]
    pub grant: String,
    /// Tokens handed over; 0 says that there are none to give.
    #[prost(uint64, tag = "5")]
    pub tokens: u64,
    /// Earlier transfers that the tokens came by, oldest first, as far as the ledger may lack them.
    #[prost(message, repeated, tag = "6")]
    pub origins: Vec<Adoption>,
}
