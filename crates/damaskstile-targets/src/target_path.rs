//! Path of a new connection to a target.

/// Path of a new connection to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetPath {
    /// The instance connects itself.
    Direct,
    /// A peer connects and passes the bytes on.
    ThroughPeer,
}
