//! `estates` settles the parts of this instance's earlier incarnations.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

use super::Holder;
use crate::entry::HolderEntry;
use crate::ledger::Ledger;
use crate::pace::Unlocked;
use crate::settlement::Settlement;
use crate::stamp::Stamp;

impl Holder {
    /// Keeps the stamp of this incarnation's start, once the fleet's time is known for it.
    pub(super) fn note_stamp(&mut self, now: Duration, stamp: &Stamp) {
        let started_at = *self.started_at.get_or_insert(now);
        let is_known = |start: &Stamp| start.fleet_late_ms.is_some();
        if self.start.as_ref().is_some_and(is_known) {
            return;
        }
        // What the clocks showed at the start follows from the time that went by since.
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

    /// Settles the parts of this instance's earlier incarnations as far as is known when they
    /// ended: each had ended when this one started.
    pub(super) fn settle_estates(&self, now: Duration, ledger: &mut Ledger) -> Vec<Settlement> {
        let own = format!("{}/", self.identity.instance);
        let names: Vec<String> = ledger
            .estates
            .keys()
            .filter(|name| name.starts_with(&own))
            .cloned()
            .collect();
        let mut settlements = Vec::new();
        for name in names {
            let estate = &ledger.estates[&name];
            if let Some((lived, unlocked)) = self.estate_unlocked(now, estate) {
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

    /// Returns how long an ended incarnation can have lived after its write, if that is known, and
    /// what it can have unlocked by then; `None` while that may become known.
    fn estate_unlocked(
        &self,
        now: Duration,
        estate: &HolderEntry,
    ) -> Option<(Option<Duration>, Unlocked)> {
        let start = self.start.as_ref()?;
        if let Some(passed) = estate.stamp.until(start) {
            let lived = passed + self.options.clock_margin;
            return Some((Some(lived), estate.pace.unlocked(lived)));
        }
        let waited = now.saturating_sub(self.started_at.unwrap_or(now));
        let is_hopeless =
            waited >= self.options.estate_patience || estate.stamp.fleet_early_ms.is_none();
        is_hopeless.then_some((None, Unlocked::ALL))
    }

    pub(super) fn has_estate_to_settle(&self, now: Duration) -> bool {
        let own = format!("{}/", self.identity.instance);
        self.ledger.estates.iter().any(|(name, estate)| {
            name.starts_with(&own) && self.estate_unlocked(now, estate).is_some()
        })
    }
}
