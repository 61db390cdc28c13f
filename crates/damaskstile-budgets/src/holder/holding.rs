//! Remaining tokens of a grant at its holder.

use damaskstile_core::peer::Adoption;
use damaskstile_core::prelude::*;

/// Remaining tokens of one grant at its holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// Tokens neither spent nor reserved.
    pub free_tokens: u64,
    /// Peers of which one must keep a run's record first; empty for an open grant.
    pub witnesses: BTreeMap<InstanceId, Incarnation>,
    /// Transfers through which the tokens arrived and which the ledger may not contain yet, oldest
    /// first.
    pub origins: Vec<Adoption>,
}
