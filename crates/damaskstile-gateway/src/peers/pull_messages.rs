//! Messages of a pull.

use bytes::Bytes;
use damaskstile_core::prelude::*;

use super::PeerReport;
use super::tunnel_messages::{TunnelOutcome, TunnelRequest};
use crate::content_changes::ContentPiece;

/// `PullRequest` names the data to pull.
#[derive(prost::Message, Clone, PartialEq)]
pub(super) struct PullRequest {
    /// Whether the list of targets is requested rather than the catalogue.
    #[prost(bool, tag = "1")]
    pub(super) is_targets: bool,
    /// Version of the list that the sender knows; only changes since then are requested. 0 requests
    /// the whole list.
    #[prost(uint64, tag = "2")]
    pub(super) since: u64,
    /// Object version of the catalogue that the sender knows, so that a difference from it is
    /// enough; 0 if none.
    #[prost(uint64, tag = "3")]
    pub(super) base: u64,
    /// Whether to include a hash of the whole list for comparison.
    #[prost(bool, tag = "5")]
    pub(super) wants_hash: bool,
    /// Whether the members are requested rather than the list or the catalogue.
    #[prost(bool, tag = "6")]
    pub(super) is_members: bool,
    /// Number of targets in one part of the answer; 0 for an undivided answer. An instance of an
    /// earlier release would take the first part for the whole list.
    #[prost(uint64, tag = "7")]
    pub(super) part_targets: u64,
    /// A tunnel to a target that is requested rather than data; the connection then belongs to the
    /// tunnel.
    #[prost(message, optional, tag = "8")]
    pub(super) tunnel: Option<TunnelRequest>,
    /// Largest catalogue to send whole, in bytes; 0 for no limit.
    #[prost(uint64, tag = "4")]
    pub(super) whole_bytes_max: u64,
}

/// `PullAnswer` is a catalogue, a list of targets or a list of members.
#[derive(prost::Message, Clone, PartialEq)]
pub(super) struct PullAnswer {
    /// Object version of the catalogue, or version of the list.
    #[prost(uint64, tag = "1")]
    pub(super) version: u64,
    /// Object name of the catalogue.
    #[prost(string, tag = "2")]
    pub(super) name: String,
    /// The catalogue as stored.
    #[prost(bytes = "bytes", tag = "3")]
    pub(super) content: Bytes,
    /// The list of targets.
    #[prost(message, repeated, tag = "4")]
    pub(super) targets: Vec<PulledTarget>,
    /// Whether the sender is around an outage and keeps entries that the list may lack because of
    /// it.
    #[prost(bool, tag = "5")]
    pub(super) is_around_outage: bool,
    /// Version since which the changes are listed; 0 if the list is whole.
    #[prost(uint64, tag = "6")]
    pub(super) since: u64,
    /// Targets that were removed since that version, if the list is not whole.
    #[prost(string, repeated, tag = "7")]
    pub(super) gone: Vec<String>,
    /// Hash of the whole list, present only while it is the same for all instances that have this
    /// version.
    #[prost(uint64, optional, tag = "8")]
    pub(super) content_hash: Option<u64>,
    /// Object version of the catalogue that the pieces refer to; 0 if the catalogue is whole.
    #[prost(uint64, tag = "9")]
    pub(super) base: u64,
    /// Pieces that make up the catalogue, if it is not whole.
    #[prost(message, repeated, tag = "10")]
    pub(super) pieces: Vec<ContentPiece>,
    /// Whether another part follows, with more targets.
    #[prost(bool, tag = "12")]
    pub(super) has_more: bool,
    /// Result of a request for a tunnel.
    #[prost(enumeration = "TunnelOutcome", tag = "13")]
    pub(super) tunnel: i32,
    /// The known members.
    #[prost(message, repeated, tag = "11")]
    pub(super) members: Vec<PeerReport>,
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
    #[prost(string, optional, tag = "9")]
    pub(super) software_version: Option<String>,
    /// Versions of the weights by model; empty if they are unknown.
    #[prost(btree_map = "string, uint64", tag = "10")]
    pub(super) weights: BTreeMap<ModelId, WeightsVersion>,
}
