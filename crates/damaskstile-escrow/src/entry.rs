//! `entry` is one instance's part of the ledger.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::pace::{Pace, Unlocked};
use crate::stamp::Stamp;
use crate::sums::Sums;

/// `HolderEntry` is one instance's part of the ledger.
///
/// All fields must be there when it is read: grants that are missing would count as none, and
/// their tokens would be handed out again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HolderEntry {
    /// Incarnation that holds the grants; its successors hold none of them.
    pub incarnation: Incarnation,
    /// Number of the incarnation's write that stands.
    pub round: u64,
    /// When it was written.
    pub stamp: Stamp,
    /// Address for messages from peers.
    pub address: String,
    /// Data centre that the instance stands in.
    pub data_centre: String,
    /// Tokens that the incarnation may spend, on top of what is settled.
    pub grants_tokens: BTreeMap<AccountId, u64>,
    /// Pace at which the rest of each grant is unlocked. It stands with the grant, so that whoever
    /// settles the grant goes by the pace that its holder went by.
    pub pace: Pace,
    /// Part of each grant that it may spend before it counts as isolated.
    pub ceilings_tokens: BTreeMap<AccountId, u64>,
    /// Tokens of the incarnation that count as spent.
    pub settled_tokens: BTreeMap<AccountId, u64>,
    /// Tokens asked for in a second.
    pub demand_tokens_per_s: BTreeMap<AccountId, u64>,
    /// Part of that for the account's most urgent calls.
    pub urgent_tokens_per_s: BTreeMap<AccountId, u64>,
}

impl HolderEntry {
    /// Returns all maps with numbers of tokens.
    pub(crate) fn token_sums(&self) -> [&BTreeMap<AccountId, u64>; 5] {
        [
            &self.grants_tokens,
            &self.ceilings_tokens,
            &self.settled_tokens,
            &self.demand_tokens_per_s,
            &self.urgent_tokens_per_s,
        ]
    }

    /// Returns the tokens asked for in a second of each account, and the part of the most urgent calls.
    pub(crate) fn demands(&self) -> Vec<(AccountId, u64, u64)> {
        let urgent = |account| self.urgent_tokens_per_s.get(account).copied().unwrap_or(0);
        let demands = self.demand_tokens_per_s.iter();
        demands
            .map(|(account, all)| (account.clone(), *all, urgent(account)))
            .collect()
    }

    /// Returns what the incarnation may spend of an account, since its start.
    #[must_use]
    pub fn sums(&self, account: &str) -> Sums {
        let of = |sums: &BTreeMap<AccountId, u64>| sums.get(account).copied().unwrap_or(0);
        let settled_tokens = of(&self.settled_tokens);
        Sums {
            allowed_tokens: settled_tokens + of(&self.grants_tokens),
            ceiling_tokens: settled_tokens + of(&self.ceilings_tokens),
            settled_tokens,
        }
    }

    /// Has all of its grants count as spent should it end, whatever time that took.
    pub(crate) fn count_whole(&mut self) {
        self.ceilings_tokens.clone_from(&self.grants_tokens);
    }

    /// Returns what the incarnation can have spent of a grant, so long after the write.
    #[must_use]
    pub fn spent_bound(&self, account: &str, unlocked: Unlocked) -> u64 {
        let grant = self.grants_tokens.get(account).copied().unwrap_or(0);
        let ceiling = self.ceilings_tokens.get(account).copied().unwrap_or(0);
        unlocked.of(ceiling, grant)
    }
}
