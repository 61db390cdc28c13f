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
    /// How the accounts stand.
    #[prost(btree_map = "string, message", tag = "5")]
    pub accounts: BTreeMap<AccountId, AccountReceipt>,
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
}
