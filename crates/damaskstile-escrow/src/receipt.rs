//! `receipt` answers a report.

use damaskstile_core::prelude::*;

use crate::sums::Sums;

/// `Receipt` tells an instance how it and the accounts stand in the ledger.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Receipt {
    /// Incarnation that the ledger lists for the instance; 0 where it lists none.
    #[prost(fixed64, tag = "1")]
    pub incarnation: Incarnation,
    /// Number of the incarnation's report that stands.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Version of the ledger.
    #[prost(uint64, tag = "3")]
    pub version: Version,
    /// Instances listed.
    #[prost(uint64, tag = "4")]
    pub instances: u64,
    /// How the accounts stand that the instance has to do with.
    #[prost(btree_map = "string, message", tag = "5")]
    pub accounts: BTreeMap<AccountId, AccountReceipt>,
}

impl Receipt {
    /// Returns the tokens that the instance's predecessor was asked for in a second, of each account,
    /// and the part of its most urgent calls.
    pub(crate) fn left_demands(&self) -> Vec<(AccountId, u64, u64)> {
        let left = self.accounts.iter();
        let left = left.filter(|(_, receipt)| receipt.left_tokens_per_s > 0);
        left.map(|(account, receipt)| {
            let urgent = receipt.left_urgent_tokens_per_s;
            (account.clone(), receipt.left_tokens_per_s, urgent)
        })
        .collect()
    }
}

/// `AccountReceipt` is the part of a receipt on one account.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AccountReceipt {
    /// What the instance may spend.
    #[prost(message, optional, tag = "1")]
    pub own: Option<Sums>,
    /// Tokens that count as spent in all.
    #[prost(uint64, tag = "2")]
    pub settled_tokens: u64,
    /// Tokens that are granted to all instances.
    #[prost(uint64, tag = "3")]
    pub granted_tokens: u64,
    /// Tokens asked for in a second at other instances.
    #[prost(uint64, tag = "4")]
    pub others_tokens_per_s: u64,
    /// Part of that for their most urgent calls.
    #[prost(uint64, tag = "5")]
    pub others_urgent_tokens_per_s: u64,
    /// Tokens that the instance's predecessor was asked for in a second, while the ledger still lists
    /// that.
    #[prost(uint64, tag = "6")]
    pub left_tokens_per_s: u64,
    /// Part of that for its most urgent calls.
    #[prost(uint64, tag = "7")]
    pub left_urgent_tokens_per_s: u64,
}
