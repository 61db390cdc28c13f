//! `run_record` holds the evidence of a run.

use serde::{Deserialize, Serialize};

use super::adoption::Adoption;
use super::draw::Draw;
use super::run_end::RunEnd;

/// `RunRecord` says what may be spent on a grant, before it is spent.
#[derive(prost::Message, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunRecord {
    /// The run; for tokens handed over, the transfer.
    #[prost(string, tag = "1")]
    pub run: String,
    /// Key of the request.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Client account that pays.
    #[prost(string, tag = "3")]
    pub account: String,
    /// Budget that is drawn on.
    #[prost(string, tag = "4")]
    pub budget: String,
    /// Grants that are drawn on, with the worst case of the run.
    #[prost(message, repeated, tag = "5")]
    pub draws: Vec<Draw>,
    /// Target of the run; empty for tokens handed over.
    #[prost(string, tag = "6")]
    pub target: String,
    /// Address of the target.
    #[prost(string, tag = "7")]
    pub address: String,
    /// Upper bound of the prompt's tokens.
    #[prost(uint64, tag = "8")]
    pub prompt_tokens: u64,
    /// Transfers that the tokens came by, as far as the ledger may lack them, oldest first.
    #[prost(message, repeated, tag = "9")]
    pub origins: Vec<Adoption>,
    /// What the run used, once it is over.
    #[prost(message, optional, tag = "10")]
    pub ended: Option<RunEnd>,
}
