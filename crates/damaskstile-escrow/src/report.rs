//! `report` is what an instance asks to have written to the ledger.

use damaskstile_core::prelude::*;

use crate::claim::Claim;
use crate::pace::Pace;
use crate::stamp::Stamp;

/// `Report` is what an instance asks to have written to the ledger, by itself or by a peer.
///
/// From the moment it is made, its sender spends no more than it would leave to it, so it may take
/// effect at any later time or never.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// The sender.
    #[prost(string, tag = "1")]
    pub instance: InstanceId,
    /// Its incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: Incarnation,
    /// Incarnation that the ledger listed when this one started; 0 where it listed none. A report
    /// of an ended incarnation that arrives late names another one than is listed by then.
    #[prost(fixed64, tag = "3")]
    pub follows: Incarnation,
    /// Number of the report within the incarnation. A ledger takes only rising ones.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// When it was made.
    #[prost(message, required, tag = "5")]
    pub stamp: Stamp,
    /// When the incarnation started.
    #[prost(message, required, tag = "6")]
    pub start: Stamp,
    /// Whether the sender no longer waits for the fleet's time to settle what earlier
    /// incarnations left.
    #[prost(bool, tag = "7")]
    pub is_out_of_patience: bool,
    /// Pace at which the sender unlocks its grants.
    #[prost(message, required, tag = "8")]
    pub pace: Pace,
    /// Address for messages from peers.
    #[prost(string, tag = "9")]
    pub address: String,
    /// Data centre that the sender stands in.
    #[prost(string, tag = "10")]
    pub data_centre: String,
    /// Whether the sender is being stopped and holds nothing beyond its calls under way.
    #[prost(bool, tag = "11")]
    pub is_stopping: bool,
    /// History of the store in which it was made.
    #[prost(uint64, tag = "14")]
    pub history: History,
    /// Whether the sender takes a receipt that names only the accounts of which something stands for
    /// it, or that it reported on. One of an earlier version would go on with what stood before.
    #[prost(bool, tag = "15")]
    pub takes_short_receipts: bool,
    /// Peers that have passed it on.
    #[prost(uint32, tag = "13")]
    pub hops: u32,
    /// What it says of each account that it has to do with.
    #[prost(btree_map = "string, message", tag = "12")]
    pub claims: BTreeMap<AccountId, Claim>,
}

impl Report {
    /// Tells whether calls wait for what it asks for.
    ///
    /// ```
    /// assert!(!damaskstile_escrow::Report::default().is_urgent());
    /// ```
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.claims.values().any(|claim| claim.wanted_tokens > 0)
    }
}
