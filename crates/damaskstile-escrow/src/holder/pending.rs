//! `pending` is a write or a report whose outcome is not known.

use damaskstile_core::prelude::*;

use crate::pace::Pace;
use crate::sums::Sums;

/// `Pending` is a write or a report whose outcome is not known.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub number: u64,
    /// Version that the ledger must have for it to take effect; a report may with any.
    pub expected_version: Option<Version>,
    pub made_at: Duration,
    pub pace: Pace,
    /// Least that it leaves of each account, should it take effect.
    pub sums: BTreeMap<AccountId, Sums>,
}

impl Pending {
    pub(super) fn allowed(&self, now: Duration, account: &str) -> u64 {
        let unlocked = self.pace.unlocked(now.saturating_sub(self.made_at));
        let sums = self.sums.get(account).copied().unwrap_or_default();
        unlocked.of(sums.ceiling_tokens, sums.allowed_tokens)
    }
}
