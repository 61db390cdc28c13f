//! Answer to a report.

use damaskstile_core::prelude::*;

use crate::spend_limits::SpendLimits;

/// Tells an instance what the ledger contains for it and for its accounts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Receipt {
    /// Incarnation that the ledger lists for the instance; 0 if there is none.
    #[prost(fixed64, tag = "1")]
    pub incarnation: Incarnation,
    /// Number of that incarnation's latest report that took effect.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Version of the ledger.
    #[prost(uint64, tag = "3")]
    pub version: Version,
    /// Number of instances that the ledger lists.
    #[prost(uint64, tag = "4")]
    pub instances: u64,
    /// The accounts that concern the instance.
    #[prost(btree_map = "string, message", tag = "5")]
    pub accounts: BTreeMap<AccountId, AccountReceipt>,
}

impl Receipt {
    /// Returns the demand of the instance's predecessor in tokens per second, by account, and the
    /// part of its most urgent calls.
    pub(crate) fn predecessor_demands(&self) -> Vec<(AccountId, u64, u64)> {
        let left = self.accounts.iter();
        let left = left.filter(|(_, receipt)| receipt.predecessor_tokens_per_s > 0);
        left.map(|(account, receipt)| {
            let urgent = receipt.predecessor_urgent_tokens_per_s;
            (account.clone(), receipt.predecessor_tokens_per_s, urgent)
        })
        .collect()
    }
}

/// Part of a receipt about one account.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AccountReceipt {
    /// What the instance may spend; `None` if nothing is stored for it.
    #[prost(message, optional, tag = "1")]
    pub own: Option<SpendLimits>,
    /// Tokens that count as spent, at all instances.
    #[prost(uint64, tag = "2")]
    pub settled_tokens: u64,
    /// Tokens that are granted to all instances.
    #[prost(uint64, tag = "3")]
    pub granted_tokens: u64,
    /// Demand at other instances, in tokens per second.
    #[prost(uint64, tag = "4")]
    pub others_tokens_per_s: u64,
    /// Part of that demand that comes from their most urgent calls.
    #[prost(uint64, tag = "5")]
    pub others_urgent_tokens_per_s: u64,
    /// Demand of the instance's predecessor in tokens per second, while the ledger still lists the
    /// predecessor; 0 afterwards.
    #[prost(uint64, tag = "6")]
    pub predecessor_tokens_per_s: u64,
    /// Part of that demand that comes from its most urgent calls.
    #[prost(uint64, tag = "7")]
    pub predecessor_urgent_tokens_per_s: u64,
}
