//! Entry of the platform's list of targets.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

/// Entry of the platform's list of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Name of the target.
    pub target: TargetId,
    /// Its incarnation; `None` if the entry does not state the start.
    pub incarnation: Option<TargetIncarnation>,
    /// Service that it runs.
    pub service: ServiceId,
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Calls that it runs at a time.
    pub slots_requests: u64,
    /// Version of its software.
    pub software_version: SoftwareVersion,
    /// Versions of the weights of its models, ordered by model; empty if they are unknown.
    pub weights: Vec<(ModelId, WeightsVersion)>,
    /// Whether it accepts new work.
    pub is_ready: bool,
    /// Remaining cold time, as of when the target wrote the entry.
    pub cold_for: Duration,
}

impl Listed {
    /// Tells whether both entries are equal apart from the remaining cold time, which decreases.
    #[must_use]
    pub fn is_like(&self, other: &Self) -> bool {
        let cold_for = self.cold_for;
        *self
            == Self {
                cold_for,
                ..other.clone()
            }
    }

    /// Returns the target with its incarnation.
    #[must_use]
    pub fn identity(&self) -> TargetIdentity {
        TargetIdentity::new(&self.target, self.incarnation)
    }
}
