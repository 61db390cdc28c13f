//! Record of what was written off for an ended incarnation.

use damaskstile_core::prelude::*;

/// Record of what was written off for an ended incarnation, for the logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settlement {
    /// Name of the orphaned entry: instance and incarnation.
    pub entry_name: String,
    /// Longest time for which the incarnation can have run after its last write; `None` if no clock
    /// bounds it, so that all of its grants count as spent.
    pub longest_life: Option<Duration>,
    /// Tokens granted and the part of them that counts as spent, by account.
    pub accounts: BTreeMap<AccountId, (u64, u64)>,
}

impl std::fmt::Display for Settlement {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let accounts = self.accounts.iter();
        let parts: Vec<String> = accounts
            .map(|(account, (granted, spent))| format!("{account}:{spent}/{granted}"))
            .collect();
        f.write_str(&parts.join(","))
    }
}
