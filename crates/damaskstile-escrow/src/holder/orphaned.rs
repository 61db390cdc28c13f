//! Settles the orphaned entries of ended incarnations.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

use super::Holder;
use crate::entry::HolderEntry;
use crate::ledger::Ledger;
use crate::report::Report;
use crate::settlement::Settlement;
use crate::stamp::Stamp;
use crate::unlock_rate::Unlocked;

impl Holder {
    /// Records the stamp of this incarnation's start, once the fleet clock is known for it.
    pub(super) fn note_stamp(&mut self, now: Duration, stamp: &Stamp) {
        let started_at = *self.started_at.get_or_insert(now);
        let is_known = |start: &Stamp| start.fleet_late_ms.is_some();
        if self.start.as_ref().is_some_and(is_known) {
            return;
        }
        // The clock readings at the start follow from the time elapsed since.
        let gone_ms = unix_ms(now.saturating_sub(started_at));
        let before = |ms: u64| ms.saturating_sub(gone_ms);
        self.start = Some(Stamp {
            boot_name: stamp.boot_name.clone(),
            boot_ms: before(stamp.boot_ms),
            unix_ms: before(stamp.unix_ms),
            fleet_early_ms: stamp.fleet_early_ms.map(before),
            fleet_late_ms: stamp.fleet_late_ms.map(before),
        });
    }

    /// Returns whether this incarnation has stopped waiting for the fleet clock to settle the
    /// orphaned entries of earlier ones.
    pub(super) fn is_past_wait_limit(&self, now: Duration) -> bool {
        let waited = now.saturating_sub(self.started_at.unwrap_or(now));
        waited >= self.options.fleet_clock_wait_limit
    }

    /// Settles the orphaned entries of earlier incarnations of an instance, as far as it is known
    /// when they ended: each had ended when the reporting one started.
    pub(super) fn settle_orphaned_entries(
        &self,
        ledger: &mut Ledger,
        report: &Report,
    ) -> Vec<Settlement> {
        let names: Vec<String> = orphaned_entries_of(ledger, &report.instance)
            .map(|(name, _)| name.clone())
            .collect();
        let mut settlements = Vec::new();
        for name in names {
            let entry = &ledger.orphaned_entries[&name];
            let start = Some(&report.start);
            let settled = self.orphaned_unlocked(start, report.is_past_wait_limit, entry);
            if let Some((longest_life, unlocked)) = settled {
                let accounts = entry.grants_tokens.iter().map(|(account, granted)| {
                    let spent = entry.spent_bound(account, unlocked);
                    (account.clone(), (*granted, spent))
                });
                settlements.push(Settlement {
                    entry_name: name.clone(),
                    longest_life,
                    accounts: accounts.collect(),
                });
                ledger.settle_orphaned(&name, unlocked);
            }
        }
        settlements
    }

    /// Returns the longest time for which an ended incarnation can have run after its last write,
    /// if that is known, and the part of its grants that was unlocked by then; `None` while that
    /// may still become known.
    fn orphaned_unlocked(
        &self,
        start: Option<&Stamp>,
        is_past_wait_limit: bool,
        entry: &HolderEntry,
    ) -> Option<(Option<Duration>, Unlocked)> {
        let start = start?;
        if let Some(passed) = entry.stamp.until(start) {
            let longest_life = passed + self.options.clock_margin;
            return Some((Some(longest_life), entry.unlock_rate.unlocked(longest_life)));
        }
        let is_unbounded = is_past_wait_limit || entry.stamp.fleet_early_ms.is_none();
        is_unbounded.then_some((None, Unlocked::ALL))
    }

    pub(super) fn has_orphaned_to_settle(&self, now: Duration) -> bool {
        let is_past_wait_limit = self.is_past_wait_limit(now);
        orphaned_entries_of(&self.ledger, &self.identity.instance).any(|(_, entry)| {
            self.orphaned_unlocked(self.start.as_ref(), is_past_wait_limit, entry)
                .is_some()
        })
    }
}

fn orphaned_entries_of<'a>(
    ledger: &'a Ledger,
    instance: &str,
) -> impl Iterator<Item = (&'a String, &'a HolderEntry)> {
    let own = format!("{instance}/");
    ledger
        .orphaned_entries
        .iter()
        .filter(move |(name, _)| name.starts_with(&own))
}
