//! Identification of a target's incarnation in messages between instances.

use damaskstile_core::prelude::*;

/// `TargetReport` names an incarnation of a target.
#[derive(prost::Message, Clone, PartialEq)]
pub struct TargetReport {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Start of the target, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_at_unix_ms: u64,
}

impl TargetReport {
    /// Makes the message for an incarnation; `None` if its start is not stated.
    pub(super) fn of(identity: &TargetIdentity) -> Option<Self> {
        Some(Self {
            target: identity.target.clone(),
            started_at_unix_ms: identity.incarnation?,
        })
    }

    pub(super) fn identity(&self) -> TargetIdentity {
        TargetIdentity::new(&self.target, Some(self.started_at_unix_ms))
    }
}
