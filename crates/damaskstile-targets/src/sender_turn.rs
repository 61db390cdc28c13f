//! `sender_turn` is what decides whether an instance is among the few that may send to a target.

/// `SenderTurn` is what decides whether an instance is among the few that may send to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SenderTurn {
    /// State of the view of the fleet.
    pub(crate) fleet_state: u64,
    /// Instances that may send at a time.
    pub(crate) senders: u64,
    /// Whose turn it is.
    pub(crate) turn: u64,
}
