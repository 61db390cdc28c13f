//! `gossip` holds the messages that spread news without all-to-all traffic.

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

/// `TargetNote` passes on that a target is leaving or is back, with the age of the evidence.
#[derive(prost::Message, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TargetNote {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Whether it is leaving.
    #[prost(bool, tag = "2")]
    pub is_leaving: bool,
    /// Age of the evidence, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// `Gossip` carries a bounded sample of news.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Gossip {
    /// The sender and some members it heard of.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberState>,
    /// Some targets with recent evidence.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetNote>,
}

/// `PullSettings` asks for newer settings.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PullSettings {
    /// Version in force at the asker.
    #[prost(uint64, tag = "1")]
    pub have_version: u64,
}

/// `SettingsUpdate` gives the settings in force at the sender.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SettingsUpdate {
    /// Version of the settings.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The settings, as stored.
    #[prost(string, tag = "2")]
    pub text: String,
}
