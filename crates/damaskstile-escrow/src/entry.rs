//! `entry` is one instance's part of the ledger.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::stamp::Stamp;

/// `HolderEntry` is one instance's part of the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HolderEntry {
    /// Incarnation that holds the grants; its successors hold none of them.
    pub incarnation: Incarnation,
    /// Number of the incarnation's write that stands.
    pub round: u64,
    /// When it was written.
    pub stamp: Stamp,
    /// Address for messages from peers.
    pub address: String,
    /// Data centre that the instance stands in.
    pub data_centre: String,
    /// Tokens that the incarnation may spend, on top of what is settled.
    pub grants_tokens: BTreeMap<AccountId, u64>,
    /// Part of each grant that it may spend before it counts as isolated.
    pub ceilings_tokens: BTreeMap<AccountId, u64>,
    /// Tokens asked for in a second.
    pub demand_tokens_per_s: BTreeMap<AccountId, u64>,
    /// Part of that for the account's most urgent calls.
    pub urgent_tokens_per_s: BTreeMap<AccountId, u64>,
}

impl HolderEntry {
    /// Returns what the incarnation can have spent of a grant, so long after the write.
    #[must_use]
    pub fn spent_bound(&self, account: &str, unlocked: Unlocked) -> u64 {
        let grant = self.grants_tokens.get(account).copied().unwrap_or(0);
        let ceiling = self.ceilings_tokens.get(account).copied().unwrap_or(0);
        unlocked.of(ceiling, grant)
    }
}

/// `Unlocked` is the part of a grant beyond the ceiling that time has unlocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unlocked {
    /// In thousandths, rounded up.
    permille: u64,
}

/// Parts of a whole.
const PERMILLE: u64 = 1000;

impl Unlocked {
    /// All of a grant.
    pub const ALL: Self = Self { permille: PERMILLE };

    /// Returns what is unlocked so long after the write that gave the grant.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_escrow::entry::Unlocked;
    /// let after = |ms| {
    ///     let since = Duration::from_millis(ms);
    ///     Unlocked::after(since, Duration::from_secs(2), Duration::from_secs(4))
    /// };
    /// assert_eq!(after(2_000).of(100, 300), 100);
    /// assert_eq!(after(4_000).of(100, 300), 200);
    /// assert_eq!(after(9_000).of(100, 300), 300);
    /// ```
    #[must_use]
    pub fn after(since: Duration, begin: Duration, span: Duration) -> Self {
        let beyond_us = since.saturating_sub(begin).as_micros();
        let span_us = span.as_micros().max(1);
        let permille = (beyond_us * u128::from(PERMILLE)).div_ceil(span_us);
        Self {
            permille: u64::try_from(permille).unwrap_or(PERMILLE).min(PERMILLE),
        }
    }

    /// Returns the tokens that may be spent of a grant with a ceiling.
    #[must_use]
    pub fn of(self, ceiling_tokens: u64, grant_tokens: u64) -> u64 {
        let ceiling = ceiling_tokens.min(grant_tokens);
        let beyond = u128::from(grant_tokens - ceiling) * u128::from(self.permille);
        let beyond = beyond.div_ceil(u128::from(PERMILLE));
        ceiling + u64::try_from(beyond).unwrap_or(u64::MAX)
    }
}
