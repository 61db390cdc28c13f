//! Reports of an instance about another one.

/// `PeerReport` is what an instance reports about another one: about the best writer, or about where
/// a member is.
///
/// In a large fleet an instance receives a given peer's digest only every ten seconds or so.
/// Forwarded reports make all instances agree on the same writer within a few digests, also at a
/// start, when each knows only some seeds.
#[derive(prost::Message, Clone, PartialEq)]
pub struct PeerReport {
    /// Name of the instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation of the instance.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Address of the instance for messages from peers.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Data centre of the instance.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Processor capacity of the instance, in percent of a core.
    #[prost(uint64, tag = "5")]
    pub capacity_percent: u64,
    /// Milliseconds since the store last answered the instance.
    #[prost(uint64, tag = "6")]
    pub store_age_ms: u64,
    /// Milliseconds since a digest of the instance was last received.
    #[prost(uint64, tag = "7")]
    pub received_age_ms: u64,
}
