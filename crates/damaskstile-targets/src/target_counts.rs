//! Numbers of listed targets by state.

/// Numbers of listed targets by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetCounts {
    /// Targets that may receive work.
    pub ready: u64,
    /// Targets that drain, have ended or were reported by peers as delisted.
    pub leaving: u64,
    /// Targets whose entries expired around an outage of the target list.
    pub lapsed: u64,
    /// Invalid entries, which name no target to use.
    pub refused: u64,
}
