//! `told_target` names an incarnation of a target in what peers tell each other.

use damaskstile_core::prelude::*;

/// `ToldTarget` names an incarnation of a target.
#[derive(prost::Message, Clone, PartialEq)]
pub struct ToldTarget {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Its start, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_at_unix_ms: u64,
}

impl ToldTarget {
    /// Names an incarnation; `None` where its start is not stated.
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
