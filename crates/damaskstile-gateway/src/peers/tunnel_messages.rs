//! Messages that open a tunnel to a target through a peer.

use damaskstile_core::prelude::*;

/// `TunnelRequest` names the incarnation of the target.
#[derive(prost::Message, Clone, PartialEq)]
pub(super) struct TunnelRequest {
    /// The target.
    #[prost(string, tag = "1")]
    pub(super) target: String,
    /// Start of the target, in milliseconds since the Unix epoch.
    #[prost(uint64, optional, tag = "2")]
    pub(super) started_at_unix_ms: Option<u64>,
}

impl TunnelRequest {
    /// Makes the request for an incarnation.
    pub(super) fn to(identity: &TargetIdentity) -> Self {
        Self {
            target: identity.target.clone(),
            started_at_unix_ms: identity.incarnation,
        }
    }

    pub(super) fn identity(&self) -> TargetIdentity {
        TargetIdentity::new(&self.target, self.started_at_unix_ms)
    }
}

/// Result of a request for a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum TunnelOutcome {
    /// The peer does not pass on calls to this target now, or does not know tunnels.
    Rejected = 0,
    /// The target accepted the peer's connection.
    Connected = 1,
    /// The target's address refuses the peer's connections.
    Refused = 2,
    /// The peer's connection was not made in time.
    Unreachable = 3,
}

impl TunnelOutcome {
    /// Returns the name used in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::Connected => "connected",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
        }
    }
}
