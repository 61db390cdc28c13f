//! `overview` is what an instance knows of all accounts.

use damaskstile_core::prelude::*;

use crate::ledger::Ledger;
use crate::receipt::Receipt;

/// `Overview` is what an instance knows of all accounts, from the ledger or from a receipt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Overview {
    /// Instances that the ledger lists.
    pub instances: u64,
    /// The accounts.
    pub accounts: BTreeMap<AccountId, AccountView>,
}

/// `AccountView` is how an account stands, seen from one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountView {
    /// Tokens that count as spent.
    pub settled_tokens: u64,
    /// Tokens that are granted to instances, those that ended among them.
    pub granted_tokens: u64,
    /// Tokens asked for in a second at other instances.
    pub others_tokens_per_s: u64,
    /// Part of that for their most urgent calls.
    pub others_urgent_tokens_per_s: u64,
}

impl Overview {
    /// Makes the overview that a ledger gives, seen from all instances but one.
    ///
    /// ```
    /// use damaskstile_escrow::{Ledger, Overview};
    /// assert_eq!(Overview::of_ledger(&Ledger::default(), "one"), Overview::default());
    /// ```
    #[must_use]
    pub fn of_ledger(ledger: &Ledger, own: &str) -> Self {
        let mut accounts: BTreeMap<AccountId, AccountView> = BTreeMap::new();
        let mut with = |account: &AccountId, add: &dyn Fn(&mut AccountView)| {
            if let Some(view) = accounts.get_mut(account) {
                add(view);
            } else {
                let mut view = AccountView::default();
                add(&mut view);
                accounts.insert(account.clone(), view);
            }
        };
        for (account, settled) in &ledger.settled_tokens {
            with(account, &|view| view.settled_tokens += settled);
        }
        for entry in ledger.holders.values().chain(ledger.estates.values()) {
            for (account, grant) in &entry.grants_tokens {
                with(account, &|view| view.granted_tokens += grant);
            }
        }
        for (_, entry) in ledger.holders.iter().filter(|(name, _)| *name != own) {
            for (account, demand) in &entry.demand_tokens_per_s {
                with(account, &|view| view.others_tokens_per_s += demand);
            }
            for (account, urgent) in &entry.urgent_tokens_per_s {
                with(account, &|view| view.others_urgent_tokens_per_s += urgent);
            }
        }
        Self {
            instances: u64::try_from(ledger.holders.len()).unwrap_or(u64::MAX),
            accounts,
        }
    }

    /// Makes the overview that a receipt gives.
    #[must_use]
    pub fn of_receipt(receipt: &Receipt) -> Self {
        let accounts = receipt.accounts.iter().map(|(account, receipt)| {
            let view = AccountView {
                settled_tokens: receipt.settled_tokens,
                granted_tokens: receipt.granted_tokens,
                others_tokens_per_s: receipt.others_tokens_per_s,
                others_urgent_tokens_per_s: receipt.others_urgent_tokens_per_s,
            };
            (account.clone(), view)
        });
        Self {
            instances: receipt.instances,
            accounts: accounts.collect(),
        }
    }

    /// Returns how an account stands.
    #[must_use]
    pub fn account(&self, account: &str) -> AccountView {
        self.accounts.get(account).copied().unwrap_or_default()
    }
}

impl AccountView {
    /// Returns the tokens that are neither spent nor granted.
    #[must_use]
    pub fn pool(&self, prepaid_tokens: u64) -> u64 {
        prepaid_tokens
            .saturating_sub(self.settled_tokens)
            .saturating_sub(self.granted_tokens)
    }
}
