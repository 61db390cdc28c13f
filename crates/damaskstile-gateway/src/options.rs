//! `options` sets up a gateway.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_escrow::EscrowOptions;
use damaskstile_targets::BookOptions;

use crate::cold_options::ColdOptions;

/// `GatewayOptions` sets up a gateway.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Who this is.
    pub identity: Identity,
    /// Part of a core that this instance has, in percent. Of a large fleet the best equipped
    /// instances write and watch for the others.
    pub capacity_percent: u64,
    /// Bytes a second that this instance's link carries each way.
    pub link_bytes_per_s: u64,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for the balancer's question whether to send work.
    pub readiness_address: SocketAddr,
    /// Address for metrics.
    pub metrics_address: SocketAddr,
    /// Address for messages from peers.
    pub peers_address: SocketAddr,
    /// Addresses of peers to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time, so that no caller waits.
    pub is_first_start: bool,
    /// Time within which a stop must be over.
    pub stop_limit: Duration,
    /// Retries of the fleet, in percent of requests.
    pub retry_percent: u64,
    /// Retries of the fleet beyond that, in a second.
    pub extra_retries_per_s: u64,
    /// Where tokens stand.
    pub escrow: EscrowOptions,
    /// How targets are chosen.
    pub book: BookOptions,
    /// What a cold target may get beyond the calls a second that it bears.
    pub cold: ColdOptions,
}
