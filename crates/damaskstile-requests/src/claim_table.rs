//! The table of claims of one shard of request keys, as it is stored.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::claim::{Claim, key_unix_ms};
use crate::claim_op::ClaimOp;

/// `ClaimTable` is the stored value that holds the claims of one shard of request keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimTable {
    /// Claims by request key.
    pub claims: BTreeMap<RequestKey, Claim>,
    /// Number of writes so far. Counting them makes every write change the stored value.
    pub writes: u64,
}

impl ClaimTable {
    /// Applies a change. A change that does not fit the claim in the table has no effect.
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

    /// Removes claims whose keys are older than `oldest_unix_ms`, in milliseconds since the Unix
    /// epoch. Requests with such keys are refused, so none of them can be claimed again.
    pub fn forget_before(&mut self, oldest_unix_ms: u64) {
        self.claims
            .retain(|key, _| key_unix_ms(key).is_some_and(|time| time >= oldest_unix_ms));
    }
}
