//! Grants: parts of a budget that one holder may spend.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Part of a budget that one incarnation of an instance may spend.
///
/// A run may spend from a grant with witnesses only after one of them keeps the run's record. Once
/// all witnesses have stopped accepting records, no unrecorded spending is possible, and the
/// remaining tokens return to the budget without waiting for a time-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Instance that may spend.
    pub holder: InstanceId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Tokens committed to this grant, including spent tokens.
    pub granted_tokens: u64,
    /// Tokens that entries account for.
    pub spent_tokens: u64,
    /// Peers that keep the records of runs, with their incarnations. Empty for an open grant, which
    /// is spent without records.
    #[serde(default)]
    pub witnesses: BTreeMap<InstanceId, Incarnation>,
    /// Witnesses that no longer accept records for this grant.
    #[serde(default)]
    pub sealed_by: BTreeSet<InstanceId>,
    /// Runs and transfers on record at a witness that has sealed the grant, with their maximum
    /// tokens, until they are entered.
    #[serde(default)]
    pub kept: BTreeMap<RunId, u64>,
    /// Runs entered before all witnesses had sealed the grant, by another instance or after a first
    /// seal. The holder may still report them, so they are remembered and not accepted again.
    #[serde(default)]
    pub resolved: BTreeSet<RunId>,
    /// Transfers out of this grant that are entered in the ledger.
    #[serde(default)]
    pub moved: BTreeSet<GrantId>,
}

impl Grant {
    /// Creates an open grant from which nothing has been spent.
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

    /// Returns whether every witness has stopped accepting records; false for an open grant.
    #[must_use]
    pub fn is_sealed(&self) -> bool {
        !self.witnesses.is_empty()
            && self
                .witnesses
                .keys()
                .all(|witness| self.sealed_by.contains(witness))
    }

    /// Returns whether this incarnation is the holder.
    #[must_use]
    pub fn is_held_by(&self, identity: &Identity) -> bool {
        self.holder == identity.instance && self.incarnation == identity.incarnation
    }

    /// Returns whether this incarnation is one of the witnesses.
    #[must_use]
    pub fn is_witnessed_by(&self, identity: &Identity) -> bool {
        self.witnesses.get(&identity.instance) == Some(&identity.incarnation)
    }

    /// Returns to the budget all tokens that no run or transfer on record can still use. To be
    /// called for sealed grants only.
    pub fn shrink_to_kept(&mut self) {
        let kept_tokens: u64 = self.kept.values().sum();
        self.granted_tokens = self
            .granted_tokens
            .min(self.spent_tokens.saturating_add(kept_tokens));
    }
}
