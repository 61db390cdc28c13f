//! Rate at which the grant of an isolated holder is unlocked.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Rate at which the grant of an isolated holder is unlocked beyond its ceiling.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnlockRate {
    /// Time after the write that gave the grant at which unlocking starts, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub after_ms: u64,
    /// Time from then until the whole grant is unlocked, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub span_ms: u64,
}

impl UnlockRate {
    /// Returns the part that is unlocked at a time after the write that gave the grant.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_escrow::UnlockRate;
    /// let unlock_rate = UnlockRate { after_ms: 2_000, span_ms: 4_000 };
    /// let after = |ms| unlock_rate.unlocked(Duration::from_millis(ms));
    /// assert_eq!(after(2_000).of(100, 300), 100);
    /// assert_eq!(after(4_000).of(100, 300), 200);
    /// assert_eq!(after(9_000).of(100, 300), 300);
    /// ```
    #[must_use]
    pub fn unlocked(&self, since: Duration) -> Unlocked {
        let beyond = since.saturating_sub(Duration::from_millis(self.after_ms));
        let span_us = u128::from(self.span_ms.max(1)) * 1000;
        let permille = (beyond.as_micros() * u128::from(PERMILLE)).div_ceil(span_us);
        Unlocked {
            permille: u64::try_from(permille).unwrap_or(PERMILLE).min(PERMILLE),
        }
    }
}

/// Unlocked part of a grant beyond its ceiling.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unlocked {
    /// In thousandths, rounded up.
    pub(crate) permille: u64,
}

/// Thousandths in a whole.
pub(crate) const PERMILLE: u64 = 1000;

impl Unlocked {
    /// The whole grant.
    pub const ALL: Self = Self { permille: PERMILLE };

    /// Returns how many tokens of a grant may be spent.
    #[must_use]
    pub fn of(self, ceiling_tokens: u64, grant_tokens: u64) -> u64 {
        let ceiling = ceiling_tokens.min(grant_tokens);
        let beyond = u128::from(grant_tokens - ceiling) * u128::from(self.permille);
        let beyond = beyond.div_ceil(u128::from(PERMILLE));
        ceiling + u64::try_from(beyond).unwrap_or(u64::MAX)
    }
}
