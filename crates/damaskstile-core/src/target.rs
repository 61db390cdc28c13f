//! Descriptions of targets and their load.

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreId, ServiceId, TargetId};

/// `TargetInfo` is the entry of a target in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetInfo {
    /// Name of the target.
    pub target: TargetId,
    /// Address, as IP and port.
    pub address: String,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Data centre that the target runs in.
    #[serde(default)]
    pub data_centre: DataCentreId,
    /// Whether the platform is removing the target.
    #[serde(default)]
    pub is_leaving: bool,
}

/// `TargetStatus` is the status that a target reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetStatus {
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Number of requests running or queued at the target when the report was made.
    pub in_flight_requests: u64,
    /// Maximum number of requests that the target runs concurrently.
    pub slots_requests: u64,
    /// Age of the report when it arrived, in milliseconds.
    pub age_ms: u64,
}
