//! Status of one peer, as served to operators.

use serde::{Deserialize, Serialize};

/// What the instance knows of one peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberStatus {
    /// Name of the peer.
    pub instance: String,
    /// Data centre in which the peer runs.
    pub data_centre: String,
    /// Address at which the peer listens for peers.
    pub address: String,
    /// `live`, `stopping` or `silent`.
    pub state: String,
    /// Last known version of the settings in force on the peer.
    pub settings_version: u64,
}
