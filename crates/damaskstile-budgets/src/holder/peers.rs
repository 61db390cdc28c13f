//! `peers` holds what a holder knows of the other instances.

use damaskstile_core::prelude::*;

/// `Peers` is what a holder knows of the other instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Peers {
    /// Peers that can be asked for tokens.
    pub askable: BTreeSet<InstanceId>,
    /// Peers that new grants name as witnesses.
    pub witnesses: BTreeMap<InstanceId, Incarnation>,
    /// Whether there are peers that cannot be reached.
    pub has_silent: bool,
}
