//! `tokens` holds the messages by which holders hand tokens to one another.

use serde::{Deserialize, Serialize};

/// `AskTokens` asks a holder of a budget for tokens.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AskTokens {
    /// Budget.
    #[prost(string, tag = "1")]
    pub budget: String,
    /// Tokens that are wanted.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
    /// Number of the question, for the answer.
    #[prost(uint64, tag = "3")]
    pub ask: u64,
}

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

/// `TakeTokens` tells the giver that a transfer has arrived, so that it is not sent again.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TakeTokens {
    /// The transfer.
    #[prost(string, tag = "1")]
    pub transfer: String,
    /// Budget.
    #[prost(string, tag = "2")]
    pub budget: String,
}
