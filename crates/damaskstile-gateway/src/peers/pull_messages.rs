//! `pull_messages` are what instances say when one pulls from another.

use bytes::Bytes;

use super::PeerWord;
use crate::content_changes::ContentPiece;

/// `PullRequest` says what is wanted.
#[derive(prost::Message, Clone, PartialEq)]
pub(super) struct PullRequest {
    /// Whether the list of targets is wanted, and not the catalogue.
    #[prost(bool, tag = "1")]
    pub(super) is_targets: bool,
    /// Version of the list that is known, so that only what changed since is wanted; 0 for all.
    #[prost(uint64, tag = "2")]
    pub(super) since: u64,
    /// Version of the catalogue's object that is known, so that what differs is enough; 0 for none.
    #[prost(uint64, tag = "3")]
    pub(super) base: u64,
    /// Whether the hash of the whole list is wanted, to compare.
    #[prost(bool, tag = "5")]
    pub(super) wants_hash: bool,
    /// Whether the instances that there are are wanted, and neither list nor catalogue.
    #[prost(bool, tag = "6")]
    pub(super) is_members: bool,
    /// Targets in one part of the answer; 0 where it must come as a whole. An instance of an earlier
    /// version would take the first part for all there is.
    #[prost(uint64, tag = "7")]
    pub(super) part_targets: u64,
    /// Largest catalogue that is wanted whole; 0 for any.
    #[prost(uint64, tag = "4")]
    pub(super) whole_bytes_max: u64,
}

/// `PullAnswer` is the catalogue or a list of targets.
#[derive(prost::Message, Clone, PartialEq)]
pub(super) struct PullAnswer {
    /// Version of the catalogue's object or of the list.
    #[prost(uint64, tag = "1")]
    pub(super) version: u64,
    /// Name of the catalogue's object.
    #[prost(string, tag = "2")]
    pub(super) name: String,
    /// The catalogue as stored.
    #[prost(bytes = "bytes", tag = "3")]
    pub(super) content: Bytes,
    /// The list of targets.
    #[prost(message, repeated, tag = "4")]
    pub(super) targets: Vec<PulledTarget>,
    /// Whether the sender waits for entries that the list may lack because of an outage.
    #[prost(bool, tag = "5")]
    pub(super) is_around_outage: bool,
    /// Version since which the list holds only what changed; 0 where it is whole.
    #[prost(uint64, tag = "6")]
    pub(super) since: u64,
    /// Targets that the list no longer holds, where it is not whole.
    #[prost(string, repeated, tag = "7")]
    pub(super) gone: Vec<String>,
    /// Hash of the whole list, while it is the same for all that have its version.
    #[prost(uint64, optional, tag = "8")]
    pub(super) content_hash: Option<u64>,
    /// Version of the catalogue's object that the pieces differ from; 0 where it is whole.
    #[prost(uint64, tag = "9")]
    pub(super) base: u64,
    /// What the catalogue is made of, where it is not whole.
    #[prost(message, repeated, tag = "10")]
    pub(super) pieces: Vec<ContentPiece>,
    /// Whether another part follows, with more targets.
    #[prost(bool, tag = "12")]
    pub(super) has_more: bool,
    /// The instances that there are.
    #[prost(message, repeated, tag = "11")]
    pub(super) members: Vec<PeerWord>,
}

/// `PulledTarget` is an entry of the list of targets.
#[derive(prost::Message, Clone, PartialEq)]
pub(super) struct PulledTarget {
    #[prost(string, tag = "1")]
    pub(super) target: String,
    #[prost(string, tag = "2")]
    pub(super) service: String,
    #[prost(string, tag = "3")]
    pub(super) address: String,
    #[prost(string, tag = "4")]
    pub(super) data_centre: String,
    #[prost(uint64, tag = "5")]
    pub(super) slots_requests: u64,
    #[prost(bool, tag = "6")]
    pub(super) is_ready: bool,
    #[prost(uint64, optional, tag = "7")]
    pub(super) started_at_unix_ms: Option<u64>,
    #[prost(uint64, tag = "8")]
    pub(super) cold_for_ms: u64,
}
