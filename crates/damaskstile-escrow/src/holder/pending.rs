//! A write or a report whose outcome is unknown.

use damaskstile_core::prelude::*;

use crate::spend_limits::SpendLimits;
use crate::unlock_rate::UnlockRate;

/// A write or a report whose outcome is unknown.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub number: u64,
    /// Ledger version that the write is conditional on; `None` for a report, which may take effect
    /// at any version.
    pub expected_version: Option<Version>,
    pub made_at: Duration,
    pub unlock_rate: UnlockRate,
    /// Smallest amounts that it leaves of each account if it takes effect.
    pub limits: BTreeMap<AccountId, SpendLimits>,
}

impl Pending {
    pub(super) fn allowed(&self, now: Duration, account: &str) -> u64 {
        let unlocked = self.unlock_rate.unlocked(now.saturating_sub(self.made_at));
        let limits = self.limits.get(account).copied().unwrap_or_default();
        unlocked.of(limits.ceiling_tokens, limits.allowed_tokens)
    }
}
