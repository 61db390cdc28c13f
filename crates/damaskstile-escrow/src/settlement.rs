//! `settlement` tells what was written off of an ended incarnation.

use damaskstile_core::prelude::*;

/// `Settlement` tells what was written off of an ended incarnation, for the logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settlement {
    /// Instance and incarnation.
    pub estate: String,
    /// Longest time for which it can have lived after its last write; `None` where no clock
    /// bounds it and all of its grants count as spent.
    pub lived: Option<Duration>,
    /// What it was granted, and the part of that which counts as spent, by account.
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
