//! Target selected for a call.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

/// Target selected for a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Its incarnation, the only one to which the outcome of the call is attributed.
    pub incarnation: Option<TargetIncarnation>,
    /// Its address.
    pub address: SocketAddr,
    /// Version of its software.
    pub software_version: SoftwareVersion,
    /// Cost by which it was selected: the expected wait for the first token.
    pub cost_ms: f64,
    /// Prompt tokens that are expected to be neither cached there nor fetched.
    pub uncached_tokens: u64,
    /// Address of the target that is likely to cache parts of the prompt that this one lacks;
    /// `None` if nothing is to be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Time to prefill the uncached tokens and to fetch those that are cached elsewhere.
    pub prefill_ms: f64,
    /// Time for which the target is likely to prefill other prompts first.
    pub ahead_ms: f64,
    /// Calls that are likely to run there.
    pub running: f64,
    /// Predicted time to the first token, from what is known of the target's speed.
    pub expected_ms: f64,
    /// Time to the first token that a target of usual speed would take; `None` if the call shows
    /// nothing of the target's speed.
    pub usual_ms: Option<f64>,
    /// How many times longer than usual work is predicted to take there; `None` where speeds are
    /// not learned.
    pub speed_factor: Option<f64>,
}

impl Choice {
    /// Returns the selected target with its incarnation.
    #[must_use]
    pub fn identity(&self) -> TargetIdentity {
        TargetIdentity::new(&self.target, self.incarnation)
    }
}
