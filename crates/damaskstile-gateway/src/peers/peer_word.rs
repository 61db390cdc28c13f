//! `peer_word` is what an instance says of another.

/// `PeerWord` is what an instance says of another one: of the one that may write for all, or where it
/// is.
///
/// In a large fleet an instance hears a peer itself every ten seconds. With what others say of it,
/// all know the same writer within a few digests, also at a start, when each knows some seeds only.
#[derive(prost::Message, Clone, PartialEq)]
pub struct PeerWord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Its address.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Data centre that it stands in.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Part of a core that it has, in percent.
    #[prost(uint64, tag = "5")]
    pub capacity_percent: u64,
    /// Milliseconds since the store last answered it.
    #[prost(uint64, tag = "6")]
    pub store_age_ms: u64,
    /// Milliseconds since it was last heard.
    #[prost(uint64, tag = "7")]
    pub heard_age_ms: u64,
}
