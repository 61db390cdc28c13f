//! Record of a run, kept by witnesses.

use serde::{Deserialize, Serialize};

use super::adoption::Adoption;
use super::draw::Draw;
use super::run_end::RunEnd;

/// `RunRecord` records what a run may spend from its grants, before it is spent.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunRecord {
    /// Id of the run, or of the transfer if tokens are transferred to a peer.
    #[prost(string, tag = "1")]
    pub run: String,
    /// Key of the request.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Client account that pays.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Budget that the run draws on.
    #[prost(string, tag = "4")]
    pub budget: String,
    /// Reservations from grants, which add up to the worst-case cost of the run.
    #[prost(message, repeated, tag = "5")]
    pub draws: Vec<Draw>,
    /// Target of the run; empty for a transfer.
    #[prost(string, tag = "6")]
    pub target: String,
    /// Address of the target.
    #[prost(string, tag = "7")]
    pub address: String,
    /// Upper bound of the number of tokens of the prompt.
    #[prost(uint64, tag = "8")]
    pub prompt_tokens: u64,
    /// Earlier transfers of the same tokens that the ledger may lack, oldest first.
    #[prost(message, repeated, tag = "9")]
    pub origins: Vec<Adoption>,
    /// Token usage, once the run has finished.
    #[prost(message, optional, tag = "10")]
    pub ended: Option<RunEnd>,
}
