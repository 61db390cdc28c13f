//! `target` describes targets: who they are, and what is known of their load.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, ServiceId, TargetId};

/// `TargetInfo` says where a target is and what it serves, from the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetInfo {
    /// Name of the target.
    pub target: TargetId,
    /// Address, as IP and port.
    pub address: String,
    /// Service that it serves.
    pub service: ServiceId,
    /// Data centre that it stands in.
    #[serde(default)]
    pub data_centre: DataCentreId,
    /// Whether the platform is taking the target away.
    #[serde(default)]
    pub is_leaving: bool,
}

/// `TargetStatus` is the target's own word on itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetStatus {
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Requests running or queued there when the report was made.
    pub in_flight_requests: u64,
    /// Requests that it runs at a time.
    pub slots_requests: u64,
    /// Age of the report when it arrived, in milliseconds.
    pub age_ms: u64,
}
