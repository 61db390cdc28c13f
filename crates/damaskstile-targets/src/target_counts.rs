//! `target_counts` counts the targets of the list by what keeps them in or out of use.

/// `TargetCounts` counts the targets of the list by what keeps them in or out of use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetCounts {
    /// Targets that may get work.
    pub ready: u64,
    /// Targets that drain, have ended, or were told by peers to be gone.
    pub leaving: u64,
    /// Targets whose entries vanished around an outage of the list.
    pub lapsed: u64,
    /// Entries that name no target to use.
    pub refused: u64,
}
