//! Gossip message.

use serde::{Deserialize, Serialize};

use super::member_state::MemberState;
use super::target_note::TargetNote;

/// `Gossip` carries a bounded sample of the states of members and targets.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Gossip {
    /// State of the sender, and of some other members it knows.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberState>,
    /// Some targets with recent evidence of their state.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetNote>,
}
