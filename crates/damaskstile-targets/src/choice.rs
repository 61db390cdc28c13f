//! `choice` is the target chosen for a call.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

/// `Choice` is the target chosen for a call.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Its incarnation. What becomes of the call is told of this one only.
    pub incarnation: Option<TargetIncarnation>,
    /// Its address.
    pub address: SocketAddr,
    /// Expected wait for the first token, by which it was chosen.
    pub cost_ms: f64,
    /// Tokens of the prompt that are not expected to be cached there.
    pub uncached_tokens: u64,
    /// Address of the target that is likely to keep parts of the prompt that this one does not.
    pub fetch_from: Option<SocketAddr>,
    /// Time to read those, and what the fetched ones take.
    pub read_ms: f64,
    /// Time for which the target is likely to read other prompts before it.
    pub ahead_ms: f64,
    /// Calls that are likely to run there.
    pub running: f64,
}

impl Choice {
    /// Returns which run of which target was chosen.
    #[must_use]
    pub fn identity(&self) -> TargetIdentity {
        TargetIdentity::new(&self.target, self.incarnation)
    }
}
