//! `record_ack` holds the answer to a record.

use serde::{Deserialize, Serialize};

/// `RecordAck` answers a record. Without an acceptance nothing may be spent on the grant.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecordAck {
    /// The run that was recorded.
    #[prost(string, tag = "1")]
    pub run: String,
    /// Whether the record is kept. A grant that was closed accepts none.
    #[prost(bool, tag = "2")]
    pub is_accepted: bool,
}
