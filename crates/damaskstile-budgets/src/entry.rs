//! `entry` holds one line of a ledger: what one run of a request used.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `Entry` says what one run used. The first entry of a request is its bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The run.
    pub run: RunId,
    /// Key of the request.
    pub key: RequestKey,
    /// Client account that pays.
    pub account: AccountId,
    /// Target that ran it; empty where that is not known.
    pub target: TargetId,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that the target generated.
    pub output_tokens: u64,
    /// Whether the caller is billed. A second run of the same request is not.
    pub is_billed: bool,
    /// Instance that wrote the entry.
    pub biller: InstanceId,
    /// Time of the entry, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

impl Entry {
    /// Returns the tokens that the run takes out of the budget.
    #[must_use]
    pub fn cost_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}
