//! Client accounts, as operators define them.

use damaskstile_core::prelude::*;

use crate::bounds::PREPAID_TOKENS_MAX;

/// `Account` is a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountId,
    /// Bearer keys that authenticate calls of the account.
    pub keys: Vec<String>,
    /// Priority that overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Total number of tokens bought; `None` if the account is not prepaid.
    pub prepaid_tokens: Option<u64>,
    /// Home regions, which may run the account's calls; empty for all regions.
    pub home_regions: BTreeSet<RegionId>,
}

impl Account {
    /// Returns the account with its numbers lowered to the bounds of a catalogue.
    pub(crate) fn bounded(self) -> Self {
        let prepaid_tokens = self.prepaid_tokens;
        Self {
            prepaid_tokens: prepaid_tokens.map(|tokens| tokens.min(PREPAID_TOKENS_MAX)),
            ..self
        }
    }
}
