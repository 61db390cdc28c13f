//! One instance's entry in the ledger.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::spend_limits::SpendLimits;
use crate::stamp::Stamp;
use crate::unlock_rate::{UnlockRate, Unlocked};

/// One instance's entry in the ledger.
///
/// Deserialization requires all fields: a missing grant would count as zero, and its tokens would
/// be granted again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HolderEntry {
    /// Incarnation that holds the grants. Its successors hold none of them.
    pub incarnation: Incarnation,
    /// Number of the incarnation's latest write or report that took effect.
    pub round: u64,
    /// Time at which that write or report was made.
    pub stamp: Stamp,
    /// Address for messages from peers.
    pub address: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Tokens that the incarnation may spend in addition to its settled ones.
    pub grants_tokens: BTreeMap<AccountId, u64>,
    /// Rate at which the rest of each grant is unlocked. It is stored with the grant, so that an
    /// instance that settles the grant uses the same rate as its holder did.
    #[serde(rename = "pace")]
    pub unlock_rate: UnlockRate,
    /// Part of each grant that may be spent before the instance counts as isolated.
    pub ceilings_tokens: BTreeMap<AccountId, u64>,
    /// Tokens of the incarnation that count as spent.
    pub settled_tokens: BTreeMap<AccountId, u64>,
    /// Demand in tokens per second.
    pub demand_tokens_per_s: BTreeMap<AccountId, u64>,
    /// Part of that demand that comes from the account's most urgent calls.
    pub urgent_tokens_per_s: BTreeMap<AccountId, u64>,
}

impl HolderEntry {
    /// Returns all maps whose values are numbers of tokens.
    pub(crate) fn token_maps(&self) -> [&BTreeMap<AccountId, u64>; 5] {
        [
            &self.grants_tokens,
            &self.ceilings_tokens,
            &self.settled_tokens,
            &self.demand_tokens_per_s,
            &self.urgent_tokens_per_s,
        ]
    }

    /// Returns the accounts that the entry names, some of them repeatedly.
    pub(crate) fn accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.token_maps().into_iter().flat_map(BTreeMap::keys)
    }

    /// Returns each account with its demand in tokens per second and the part of its most urgent
    /// calls.
    pub(crate) fn demands(&self) -> Vec<(AccountId, u64, u64)> {
        let urgent = |account| self.urgent_tokens_per_s.get(account).copied().unwrap_or(0);
        let demands = self.demand_tokens_per_s.iter();
        demands
            .map(|(account, all)| (account.clone(), *all, urgent(account)))
            .collect()
    }

    /// Returns what the incarnation may spend of an account, counted from its start.
    #[must_use]
    pub fn spend_limits(&self, account: &str) -> SpendLimits {
        let of = |map: &BTreeMap<AccountId, u64>| map.get(account).copied().unwrap_or(0);
        let settled_tokens = of(&self.settled_tokens);
        SpendLimits {
            allowed_tokens: settled_tokens + of(&self.grants_tokens),
            ceiling_tokens: settled_tokens + of(&self.ceilings_tokens),
            settled_tokens,
        }
    }

    /// Raises all ceilings to the grants, so that if the incarnation ends its grants count as spent
    /// regardless of how long it lived.
    pub(crate) fn raise_ceilings(&mut self) {
        self.ceilings_tokens.clone_from(&self.grants_tokens);
    }

    /// Returns the most that the incarnation can have spent of its grant, given the part that was
    /// unlocked.
    #[must_use]
    pub fn spent_bound(&self, account: &str, unlocked: Unlocked) -> u64 {
        let grant = self.grants_tokens.get(account).copied().unwrap_or(0);
        let ceiling = self.ceilings_tokens.get(account).copied().unwrap_or(0);
        unlocked.of(ceiling, grant)
    }
}
