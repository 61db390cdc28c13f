//! Confirmation of a transfer of tokens.

use serde::{Deserialize, Serialize};

/// `TransferConfirmation` confirms to the sender that a transfer has arrived, so that it is not
/// sent again.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TransferConfirmation {
    /// Id of the transfer.
    #[prost(string, tag = "1")]
    pub transfer: String,
    /// Budget that the tokens belong to.
    #[prost(string, tag = "2")]
    pub budget: String,
}
