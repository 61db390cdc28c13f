//! Request of an instance to change its entry in the ledger.

use damaskstile_core::prelude::*;

use crate::claim::Claim;
use crate::stamp::Stamp;
use crate::unlock_rate::UnlockRate;

/// Request of an instance to change its entry in the ledger, entered by itself or by a peer.
///
/// From the moment it is made, the sender spends no more than the report would leave it. So it may
/// safely take effect at any later time or never.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Report {
    /// The sender.
    #[prost(string, tag = "1")]
    pub instance: InstanceId,
    /// Its incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: Incarnation,
    /// Incarnation that the ledger listed when this one started; 0 if there was none. A late report
    /// of an ended incarnation names a different incarnation from the one that the ledger lists by
    /// then.
    #[prost(fixed64, tag = "3")]
    pub follows: Incarnation,
    /// Number of the report within the incarnation. The ledger accepts only increasing numbers.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Time at which the report was made.
    #[prost(message, required, tag = "5")]
    pub stamp: Stamp,
    /// Time at which the incarnation started.
    #[prost(message, required, tag = "6")]
    pub start: Stamp,
    /// Whether the sender has stopped waiting for the fleet clock to settle the orphaned entries of
    /// its earlier incarnations.
    #[prost(bool, tag = "7")]
    pub is_past_wait_limit: bool,
    /// Rate at which the sender unlocks its grants.
    #[prost(message, required, tag = "8")]
    pub unlock_rate: UnlockRate,
    /// Address for messages from peers.
    #[prost(string, tag = "9")]
    pub address: String,
    /// Data centre of the sender.
    #[prost(string, tag = "10")]
    pub data_centre: String,
    /// Whether the sender is being stopped and keeps only the tokens of its calls in progress.
    #[prost(bool, tag = "11")]
    pub is_stopping: bool,
    /// History of the store in which the report was made.
    #[prost(uint64, tag = "14")]
    pub history: History,
    /// Whether the sender accepts a receipt that names only the accounts that the report names or
    /// for which the ledger holds something for the sender. A sender of an earlier version would
    /// keep its old values for accounts that are left out.
    #[prost(bool, tag = "15")]
    pub takes_short_receipts: bool,
    /// Number of peers that have forwarded the report.
    #[prost(uint32, tag = "13")]
    pub hops: u32,
    /// Claims by account.
    #[prost(btree_map = "string, message", tag = "12")]
    pub claims: BTreeMap<AccountId, Claim>,
}

impl Report {
    /// Returns whether calls wait for tokens that the report requests.
    ///
    /// ```
    /// assert!(!damaskstile_escrow::Report::default().is_urgent());
    /// ```
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.claims.values().any(|claim| claim.wanted_tokens > 0)
    }
}
