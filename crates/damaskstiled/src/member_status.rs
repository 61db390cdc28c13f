//! `member_status` is what operators see of one peer.

use serde::{Deserialize, Serialize};

/// `MemberStatus` is what the instance knows of one peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberStatus {
    /// Name of the peer.
    pub instance: String,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Its address.
    pub address: String,
    /// `live`, `stopping` or `silent`.
    pub state: String,
    /// Settings in force there, as far as is known.
    pub settings_version: u64,
}
