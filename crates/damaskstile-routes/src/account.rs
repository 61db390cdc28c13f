//! `account` holds what operators say of a client account.

use damaskstile_core::prelude::*;

/// `Account` is a client account with the keys that it calls with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountId,
    /// Bearer keys of the account.
    pub keys: Vec<String>,
    /// Rank that goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Tokens bought so far; `None` where the account is not prepaid.
    pub prepaid_tokens: Option<u64>,
    /// Regions that may run the account's calls; empty for all.
    pub homes: BTreeSet<RegionId>,
}
