//! `gossip` holds the message that spreads news.

use serde::{Deserialize, Serialize};

use super::member_state::MemberState;
use super::target_note::TargetNote;

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
