//! Ledger entries: the tokens used by a run of a request.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Tokens used by one run. The first billed entry of a request is its bill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The run.
    pub run: RunId,
    /// Key of the request.
    pub key: RequestKey,
    /// Client account that is charged.
    pub account: AccountId,
    /// Target that executed the run; empty if unknown.
    pub target: TargetId,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of tokens that the target generated.
    pub output_tokens: u64,
    /// Whether the caller is billed. A second run of the same request is not billed.
    pub is_billed: bool,
    /// Instance that wrote the entry.
    pub biller: InstanceId,
    /// Time of the entry, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

impl Entry {
    /// Returns the tokens that the run costs the budget.
    #[must_use]
    pub fn cost_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}
