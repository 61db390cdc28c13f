//! `holding` is what an instance has left of one grant.

use damaskstile_core::peer::Adoption;
use damaskstile_core::prelude::*;

/// `Holding` is what an instance has left of one grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// Tokens neither spent nor reserved.
    pub free_tokens: u64,
    /// Peers of which one must keep a run's record first; none for an open grant.
    pub witnesses: BTreeMap<InstanceId, Incarnation>,
    /// Transfers that the tokens came by and that the ledger may not have yet, oldest first.
    pub origins: Vec<Adoption>,
}
