//! `member_state` holds what one instance says of itself.

use serde::{Deserialize, Serialize};

/// `MemberState` is what one instance says of itself.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberState {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// When the incarnation started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub started_unix_ms: u64,
    /// Counts up while the instance lives.
    #[prost(uint64, tag = "4")]
    pub heartbeat: u64,
    /// Data centre it stands in.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Address for peers, as IP and port.
    #[prost(string, tag = "6")]
    pub address: String,
    /// Whether it is stopping.
    #[prost(bool, tag = "7")]
    pub is_stopping: bool,
    /// Version of the settings in force there.
    #[prost(uint64, tag = "8")]
    pub settings_version: u64,
    /// All its runs with a lower number are accounted for; their records can go.
    #[prost(uint64, tag = "9")]
    pub settled_runs_below: u64,
}
