//! Totals of all accounts as one instance knows them.

use damaskstile_core::prelude::*;

use crate::ledger::Ledger;
use crate::receipt::Receipt;

/// Totals of all accounts as one instance knows them, from the ledger or from a receipt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Overview {
    /// Number of instances that the ledger lists.
    pub instances: u64,
    /// Totals by account.
    pub accounts: BTreeMap<AccountId, AccountView>,
}

/// Totals of one account as one instance knows them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountView {
    /// Tokens that count as spent.
    pub settled_tokens: u64,
    /// Tokens that are granted to instances, including orphaned entries.
    pub granted_tokens: u64,
    /// Demand at other instances, in tokens per second.
    pub others_tokens_per_s: u64,
    /// Part of that demand that comes from their most urgent calls.
    pub others_urgent_tokens_per_s: u64,
}

impl Overview {
    /// Computes the overview from a ledger. The demand of the instance `own` is left out.
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
        for entry in ledger
            .holders
            .values()
            .chain(ledger.orphaned_entries.values())
        {
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

    /// Converts a receipt.
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

    /// Returns the totals of an account.
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
