//! Recent work of each account.

use damaskstile_core::prelude::*;

use super::decaying_work::{DECAY_TIME, DecayingWork};

/// Time after its last call for which an account counts. By then less than 2 % of its work is left.
const KEPT: Duration = Duration::from_secs(20);
/// Interval between two removals of accounts without recent calls.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);

/// Work that an instance admitted recently, by rank and account.
#[derive(Debug, Clone, Default)]
pub struct AccountWork {
    entries: BTreeMap<u8, BTreeMap<AccountId, DecayingWork>>,
    /// Work of all ranks and accounts.
    total: DecayingWork,
    pruned_at: Duration,
}

impl AccountWork {
    /// Records that a call of an account arrived.
    pub fn note_call(&mut self, now: Duration, rank: u8, account: &str) {
        if now.saturating_sub(self.pruned_at) >= PRUNE_INTERVAL {
            self.pruned_at = now;
            for accounts in self.entries.values_mut() {
                accounts.retain(|_, entry| now.saturating_sub(entry.at) <= KEPT);
            }
        }
        self.add(now, rank, account, 0.0);
    }

    /// Adds work of an admitted call.
    pub fn add(&mut self, now: Duration, rank: u8, account: &str, work_s: f64) {
        self.total = self.total.with(now, work_s);
        let accounts = self.entries.entry(rank).or_default();
        // The account is almost always present, so its name is cloned only when it is first seen.
        if let Some(entry) = accounts.get_mut(account) {
            *entry = entry.with(now, work_s);
        } else {
            accounts.insert(account.to_owned(), DecayingWork { work_s, at: now });
        }
    }

    /// Returns the share of the recent work that an account has.
    #[must_use]
    pub fn share(&self, now: Duration, account: &str) -> f64 {
        let of_ranks = self.entries.values();
        let entries = of_ranks.filter_map(|accounts| accounts.get(account));
        let own_s: f64 = entries.map(|entry| entry.work_s(now)).sum();
        let all_s = self.total.work_s(now);
        if all_s > 0.0 { own_s / all_s } else { 0.0 }
    }

    /// Returns the recent work of more urgent ranks, as a fraction of the capacity.
    #[must_use]
    pub fn work_above(&self, now: Duration, rank: u8) -> f64 {
        let entries = self
            .entries
            .range(..rank)
            .flat_map(|(_, accounts)| accounts);
        let work_s: f64 = entries.map(|(_, entry)| entry.work_s(now)).sum();
        work_s / DECAY_TIME.as_secs_f64()
    }

    /// Returns whether other accounts of a rank called within the decay time.
    #[must_use]
    pub fn has_others(&self, now: Duration, rank: u8, account: &str) -> bool {
        let accounts = self.entries.get(&rank).into_iter().flatten();
        let is_recent = |entry: &DecayingWork| now.saturating_sub(entry.at) <= DECAY_TIME;
        accounts
            .into_iter()
            .any(|(name, entry)| name != account && is_recent(entry))
    }
}
