//! State of a member, as gossip spreads it.

use serde::{Deserialize, Serialize};

/// `MemberState` is the state that an instance reports of itself.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemberState {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation of the instance.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub started_unix_ms: u64,
    /// Counter that increases while the instance is up.
    #[prost(uint64, tag = "4")]
    pub heartbeat: u64,
    /// Data centre that the instance runs in.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Address for peers, as IP and port.
    #[prost(string, tag = "6")]
    pub address: String,
    /// Whether the instance is stopping.
    #[prost(bool, tag = "7")]
    pub is_stopping: bool,
    /// Version of the settings in force at the instance.
    #[prost(uint64, tag = "8")]
    pub settings_version: u64,
    /// Number below which all runs of the instance are accounted for, so that their records can be
    /// discarded.
    #[prost(uint64, tag = "9")]
    pub settled_runs_below: u64,
}
