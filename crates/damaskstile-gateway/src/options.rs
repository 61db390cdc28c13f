//! Configuration of a gateway.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_escrow::EscrowOptions;
use damaskstile_targets::TargetTableOptions;

use crate::admission::AdmissionOptions;
use crate::caller_resources::CallerLimits;
use crate::cold_options::ColdOptions;
use crate::copy_options::CopyOptions;
use crate::rotation_options::RotationOptions;

/// Configuration of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Identity of this instance.
    pub identity: Identity,
    /// Processor capacity of this instance, in percent of a core. In a large fleet the instances
    /// with the most capacity write to the ledger and watch the store for the others.
    pub capacity_percent: u64,
    /// Capacity of this instance's link in each direction, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for the balancer's readiness check.
    pub readiness_address: SocketAddr,
    /// Address for metrics.
    pub metrics_address: SocketAddr,
    /// Address for messages from peers.
    pub peers_address: SocketAddr,
    /// Addresses of the first peers to contact.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time. No callers are waiting then, so the
    /// instance may wait longer for its peers.
    pub is_first_start: bool,
    /// Time limit of a shutdown.
    pub stop_limit: Duration,
    /// Retry budget of the fleet, in percent of its requests.
    pub retry_percent: u64,
    /// Retries a second that the fleet may make in addition.
    pub extra_retries_per_s: u64,
    /// Options of the token escrow.
    pub escrow: EscrowOptions,
    /// Options of target selection.
    pub target_table: TargetTableOptions,
    /// When the instance leaves rotation by its relative load.
    pub rotation: RotationOptions,
    /// Rate of calls that a cold target may get.
    pub cold: ColdOptions,
    /// Options of the admission of calls.
    pub admission: AdmissionOptions,
    /// Copies of runs.
    pub copies: CopyOptions,
    /// Limits on what callers may make the process hold.
    pub callers: CallerLimits,
}
