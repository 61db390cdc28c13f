//! `claim_table` holds the stored table of one shard of keys.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::claim::{Claim, key_unix_ms};
use crate::claim_op::ClaimOp;

/// `ClaimTable` is the stored table of one shard of keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimTable {
    /// Claims by key.
    pub claims: BTreeMap<RequestKey, Claim>,
    /// Number of writes, so that every write changes the value.
    pub writes: u64,
}

impl ClaimTable {
    /// Applies a change.
    pub fn apply(&mut self, op: &ClaimOp) {
        match op {
            ClaimOp::Claim { key, claim } => {
                self.claims
                    .entry(key.clone())
                    .or_insert_with(|| claim.clone());
            }
            ClaimOp::Finish { key, run, state } => {
                if let Some(claim) = self.claims.get_mut(key)
                    && &claim.run == run
                {
                    claim.state = state.clone();
                }
            }
            ClaimOp::Release { key, run } => {
                if self.claims.get(key).is_some_and(|claim| &claim.run == run) {
                    self.claims.remove(key);
                }
            }
        }
    }

    /// Forgets claims whose keys are older than the retention. Such keys are refused, so none
    /// of them can be claimed again.
    pub fn forget_before(&mut self, oldest_unix_ms: u64) {
        self.claims
            .retain(|key, _| key_unix_ms(key).is_some_and(|time| time >= oldest_unix_ms));
    }
}
