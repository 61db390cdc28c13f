//! `take_tokens` holds the word that a gift has come.

use serde::{Deserialize, Serialize};

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
