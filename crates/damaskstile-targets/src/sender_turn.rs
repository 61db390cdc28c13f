//! State that decides whether an instance is among the few that may send to a target.

/// State that decides whether an instance is among the few that may send to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SenderTurn {
    /// Counter of changes of the fleet view and of the cold limits.
    pub(crate) fleet_state: u64,
    /// Number of instances that may send at a time.
    pub(crate) senders: u64,
    /// Number of the turn.
    pub(crate) turn: u64,
}
