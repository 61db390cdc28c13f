//! Settles the orphaned entries of ended incarnations.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

use super::Holder;
use crate::entry::HolderEntry;
use crate::ledger::Ledger;
use crate::pace::Unlocked;
use crate::report::Report;
use crate::settlement::Settlement;
use crate::stamp::Stamp;

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
    pub(super) fn is_out_of_patience(&self, now: Duration) -> bool {
        let waited = now.saturating_sub(self.started_at.unwrap_or(now));
        waited >= self.options.estate_patience
    }

    /// Settles the orphaned entries of earlier incarnations of an instance, as far as it is known
    /// when they ended: each had ended when the reporting one started.
    pub(super) fn settle_estates(&self, ledger: &mut Ledger, report: &Report) -> Vec<Settlement> {
        let names: Vec<String> = estates_of(ledger, &report.instance)
            .map(|(name, _)| name.clone())
            .collect();
        let mut settlements = Vec::new();
        for name in names {
            let estate = &ledger.estates[&name];
            let start = Some(&report.start);
            let settled = self.estate_unlocked(start, report.is_out_of_patience, estate);
            if let Some((lived, unlocked)) = settled {
                let accounts = estate.grants_tokens.iter().map(|(account, granted)| {
                    let spent = estate.spent_bound(account, unlocked);
                    (account.clone(), (*granted, spent))
                });
                settlements.push(Settlement {
                    estate: name.clone(),
                    lived,
                    accounts: accounts.collect(),
                });
                ledger.settle_estate(&name, unlocked);
            }
        }
        settlements
    }

    /// Returns the longest time for which an ended incarnation can have run after its last write,
    /// if that is known, and the part of its grants that was unlocked by then; `None` while that
    /// may still become known.
    fn estate_unlocked(
        &self,
        start: Option<&Stamp>,
        is_out_of_patience: bool,
        estate: &HolderEntry,
    ) -> Option<(Option<Duration>, Unlocked)> {
        let start = start?;
        if let Some(passed) = estate.stamp.until(start) {
            let lived = passed + self.options.clock_margin;
            return Some((Some(lived), estate.pace.unlocked(lived)));
        }
        let is_hopeless = is_out_of_patience || estate.stamp.fleet_early_ms.is_none();
        is_hopeless.then_some((None, Unlocked::ALL))
    }

    pub(super) fn has_estate_to_settle(&self, now: Duration) -> bool {
        let is_out_of_patience = self.is_out_of_patience(now);
        estates_of(&self.ledger, &self.identity.instance).any(|(_, estate)| {
            self.estate_unlocked(self.start.as_ref(), is_out_of_patience, estate)
                .is_some()
        })
    }
}

fn estates_of<'a>(
    ledger: &'a Ledger,
    instance: &str,
) -> impl Iterator<Item = (&'a String, &'a HolderEntry)> {
    let own = format!("{instance}/");
    ledger
        .estates
        .iter()
        .filter(move |(name, _)| name.starts_with(&own))
}
