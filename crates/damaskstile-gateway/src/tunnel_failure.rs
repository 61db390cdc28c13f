//! Why no tunnel to a target was opened.

/// Why no tunnel to a target was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelFailure {
    /// No peer tried to connect to the target.
    NoPeer,
    /// The target's address refuses connections of peers as well.
    Refused,
    /// A peer's connection was not made in time either.
    Unreachable,
}
