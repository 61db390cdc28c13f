//! State of the other instances as seen by a holder.

use damaskstile_core::prelude::*;

/// State of the other instances as seen by a holder.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Peers {
    /// Peers from which tokens can be requested.
    pub token_sources: BTreeSet<InstanceId>,
    /// Peers to name as witnesses of new grants, with their incarnations.
    pub witnesses: BTreeMap<InstanceId, Incarnation>,
    /// Whether some peers are unresponsive.
    pub has_silent: bool,
}
