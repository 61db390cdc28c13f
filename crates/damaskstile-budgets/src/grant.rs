//! `grant` holds the part of a budget that one holder may spend.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `Grant` is the part of a budget that one incarnation of an instance may spend.
///
/// A grant with witnesses may be drawn on only after one of them keeps the record of the run.
/// So when all of them have stopped accepting records, nothing unknown can be spent any more,
/// and the rest goes back to the budget without waiting for any clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Instance that may spend.
    pub holder: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Tokens that stand out of the budget for this grant, spent ones included.
    pub granted_tokens: u64,
    /// Tokens that entries account for.
    pub spent_tokens: u64,
    /// Peers that keep the records, with their incarnations. Empty: spent without records.
    #[serde(default)]
    pub witnesses: BTreeMap<InstanceId, Incarnation>,
    /// Witnesses that accept no more records.
    #[serde(default)]
    pub sealed_by: BTreeSet<InstanceId>,
    /// Runs on record at a witness that has sealed, with their worst case, until an entry comes.
    #[serde(default)]
    pub kept: BTreeMap<RunId, u64>,
    /// Runs that a witness accounted for while the holder might still do so.
    #[serde(default)]
    pub resolved: BTreeSet<RunId>,
    /// Transfers out of this grant that their takers have entered.
    #[serde(default)]
    pub moved: BTreeSet<GrantId>,
}

impl Grant {
    /// Makes a grant that nothing was spent of.
    #[must_use]
    pub fn new(identity: &Identity, granted_tokens: u64) -> Self {
        Self {
            holder: identity.instance.clone(),
            incarnation: identity.incarnation,
            granted_tokens,
            spent_tokens: 0,
            witnesses: BTreeMap::new(),
            sealed_by: BTreeSet::new(),
            kept: BTreeMap::new(),
            resolved: BTreeSet::new(),
            moved: BTreeSet::new(),
        }
    }

    /// Returns the tokens that may still be spent.
    #[must_use]
    pub fn outstanding_tokens(&self) -> u64 {
        self.granted_tokens.saturating_sub(self.spent_tokens)
    }

    /// Tells whether every witness has stopped accepting records.
    #[must_use]
    pub fn is_sealed(&self) -> bool {
        !self.witnesses.is_empty()
            && self
                .witnesses
                .keys()
                .all(|witness| self.sealed_by.contains(witness))
    }

    /// Tells whether this incarnation is the holder.
    #[must_use]
    pub fn is_held_by(&self, identity: &Identity) -> bool {
        self.holder == identity.instance && self.incarnation == identity.incarnation
    }

    /// Tells whether this incarnation is one of the witnesses.
    #[must_use]
    pub fn is_witnessed_by(&self, identity: &Identity) -> bool {
        self.witnesses.get(&identity.instance) == Some(&identity.incarnation)
    }

    /// Gives back all that no run on record can still use. For sealed grants only.
    pub fn shrink_to_kept(&mut self) {
        let kept_tokens: u64 = self.kept.values().sum();
        self.granted_tokens = self
            .granted_tokens
            .min(self.spent_tokens.saturating_add(kept_tokens));
    }
}
