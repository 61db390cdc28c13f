//! Keeps the target table up to date with the target list and with peer reports on it.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use super::TargetTable;
use crate::departures::DEPARTURE_REPORT_SPAN;
use crate::listed::Listed;
use crate::refused::Refused;
use crate::target_counts::TargetCounts;
use crate::target_state::TargetState;

/// Targets delisted around an outage that are reported in one digest.
const LAPSED_REPORTS_MAX: usize = 16;
/// Fault of an entry that does not state its target's start although others do.
const FAULT_NO_START: &str = "the start is not stated";

impl TargetTable {
    /// Applies one entry of the target list. Returns whether that changed the target's incarnation
    /// or readiness, made it cold, or put it into or out of use because of an invalid entry.
    ///
    /// An entry of an incarnation older than the newest known one is late and changes nothing, unless
    /// it stands for long ([`Self::apply_standing`]). An entry that does not state the start of a
    /// target whose start is known is refused.
    pub fn list(&mut self, now: Duration, listed: Listed) -> bool {
        let is_new = self.apply_entry(now, listed);
        self.update_start_rule();
        is_new
    }

    fn apply_entry(&mut self, now: Duration, listed: Listed) -> bool {
        if self.is_outdated(&listed.identity()) {
            if listed.incarnation.is_none() {
                return self.mark_refused(&listed.target, FAULT_NO_START);
            }
            self.note_standing(now, listed);
            return false;
        }
        self.standing.remove(&listed.target);
        let was_refused = self.refused.remove(&listed.target).is_some();
        let identity = listed.identity();
        let was_left = self.departures.covers(&listed.target);
        let before = self.targets.get(&listed.target);
        let is_same = before
            .is_some_and(|state| state.missing_since.is_none() && state.listed.is_like(&listed));
        if was_refused || was_left || !is_same {
            self.touched.insert(listed.target.clone());
        }
        if listed.is_ready {
            self.departures.listed_ready(&identity);
        } else {
            self.departures.leave(now, &identity);
        }
        if is_same && let Some(state) = self.targets.get_mut(&listed.target) {
            let is_newly_cold = state.update(now, listed);
            return self.note_newly_cold(is_newly_cold, &identity) || was_refused;
        }
        // Its position in the index may change.
        match self.remove_state(now, &listed.target) {
            Some(mut state) if state.listed.incarnation == listed.incarnation => {
                let was_ready = state.listed.is_ready && state.missing_since.is_none();
                let is_ready = listed.is_ready;
                let is_newly_cold = state.update(now, listed);
                self.insert_state(now, state);
                self.note_newly_cold(is_newly_cold, &identity)
                    || was_refused
                    || was_ready != is_ready
            }
            _ => {
                // A new incarnation has none of its predecessor's cached prompts or running calls.
                self.insert_state(now, TargetState::new(now, listed));
                true
            }
        }
    }

    fn note_newly_cold(&mut self, is_newly_cold: bool, identity: &TargetIdentity) -> bool {
        if is_newly_cold {
            self.touched.insert(identity.target.clone());
        }
        is_newly_cold
    }

    /// Applies an invalid entry; returns whether its fault is new.
    ///
    /// The target listed under its name is out of use until the next valid entry. This is no drain:
    /// an entry of another writer must not take a working target out of use for good.
    pub fn refuse(&mut self, entry: &Refused) -> bool {
        self.mark_refused(&entry.target, &entry.fault)
    }

    fn mark_refused(&mut self, target: &str, fault: &str) -> bool {
        self.standing.remove(target);
        if let Some(state) = self.targets.get_mut(target) {
            state.missing_since = None;
        }
        let before = self.refused.insert(target.to_owned(), fault.to_owned());
        if before.is_none() {
            self.touched.insert(target.to_owned());
        }
        before.as_deref() != Some(fault)
    }

    /// Returns the fault of a target's entry if the entry is invalid.
    #[must_use]
    pub fn fault(&self, target: &str) -> Option<&str> {
        let refused = self.refused.get(target).map(String::as_str);
        refused.or_else(|| {
            let state = self.targets.get(target)?;
            self.is_start_missing(state).then_some(FAULT_NO_START)
        })
    }

    /// Applies the removal of a target from the list.
    ///
    /// Around an outage of the list, entries expire although their targets are alive, and reappear
    /// soon; such a target stays in use for a short grace period. At other times it is treated as
    /// leaving.
    pub fn unlist(&mut self, now: Duration, target: &str, is_around_outage: bool) {
        self.touched.insert(target.to_owned());
        self.standing.remove(target);
        // The last entry under this name was invalid, so there is no target to wait for.
        let was_refused = self.refused.remove(target).is_some();
        if !is_around_outage || was_refused {
            let state = self.targets.get(target);
            let incarnation = state.and_then(|state| state.listed.incarnation);
            self.delist(now, &TargetIdentity::new(target, incarnation));
            self.remove_state(now, target);
            // If it is reported again, the next entry has to stand once more.
            self.wrong_starts.remove(target);
        } else if let Some(state) = self.targets.get_mut(target) {
            state.missing_since.get_or_insert(now);
            self.lapsed.insert(target.to_owned());
        }
        self.update_start_rule();
    }

    /// Applies the whole list; targets that it does not contain are unlisted. Returns the refused
    /// entries whose fault is new.
    pub fn list_all(
        &mut self,
        now: Duration,
        all: Vec<Result<Listed, Refused>>,
        is_around_outage: bool,
    ) -> Vec<Refused> {
        self.list_covered(now, all, is_around_outage, |_| true)
    }

    /// Applies a list that may lack targets whose names it does not cover. Returns the refused
    /// entries whose fault is new.
    pub fn list_covered(
        &mut self,
        now: Duration,
        all: Vec<Result<Listed, Refused>>,
        is_around_outage: bool,
        covers: impl Fn(&str) -> bool,
    ) -> Vec<Refused> {
        let named: BTreeSet<TargetId> = all
            .iter()
            .map(|entry| match entry {
                Ok(listed) => listed.target.clone(),
                Err(refused) => refused.target.clone(),
            })
            .collect();
        let known: BTreeSet<&TargetId> = self.targets.keys().chain(self.refused.keys()).collect();
        let gone: Vec<TargetId> = known
            .into_iter()
            .filter(|target| !named.contains(*target) && covers(target))
            .cloned()
            .collect();
        for target in gone {
            self.unlist(now, &target, is_around_outage);
        }
        self.listed_since.get_or_insert(now);
        let mut new_faults = Vec::new();
        for entry in all {
            match entry {
                Ok(listed) => {
                    let target = listed.target.clone();
                    let is_new = self.apply_entry(now, listed);
                    if let Some(fault) = self.refused.get(&target).filter(|_| is_new) {
                        let fault = fault.clone();
                        new_faults.push(Refused { target, fault });
                    }
                }
                Err(refused) if self.refuse(&refused) => new_faults.push(refused),
                Err(_) => {}
            }
        }
        self.update_start_rule();
        new_faults
    }

    /// Records that an incarnation drains or has ended; returns whether that is new.
    pub fn leave(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        let is_new = !self.is_outdated(identity) && self.departures.leave(now, identity);
        self.note_report(now, identity, is_new)
    }

    /// Records that an incarnation was delisted; returns whether that is new.
    pub fn delist(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        let is_new = !self.is_outdated(identity) && self.departures.delist(now, identity);
        self.note_report(now, identity, is_new)
    }

    /// Records a report that an incarnation is leaving or gone; returns whether it is new.
    fn note_report(&mut self, now: Duration, identity: &TargetIdentity, is_new: bool) -> bool {
        let state = self.targets.get(&identity.target);
        let is_later = state.is_some_and(|state| state.listed.incarnation < identity.incarnation);
        if is_new && is_later {
            self.note_later_report(now, &identity.target);
        }
        is_new
    }

    /// Returns the newest known incarnation of a target, from the list or from departures.
    #[must_use]
    pub fn newest(&self, target: &str) -> Option<TargetIncarnation> {
        let state = self.targets.get(target);
        let listed = state.and_then(|state| state.listed.incarnation);
        listed.max(self.departures.newest(target))
    }

    /// Determines whether targets state their starts: at least half of them must do so. One stray
    /// entry must not decide this for all others.
    fn update_start_rule(&mut self) {
        let stated = self.stated;
        self.is_start_stated = stated > 0 && stated * 2 >= self.targets.len();
    }

    pub(super) fn is_start_missing(&self, state: &TargetState) -> bool {
        self.is_start_stated && state.listed.incarnation.is_none()
    }

    /// Returns the incarnations that recently began to drain, to report them to peers.
    #[must_use]
    pub fn draining(&self, now: Duration) -> Vec<TargetIdentity> {
        self.departures.to_report(now, true)
    }

    /// Returns the recently delisted incarnations, to report them to peers. This includes those
    /// that were delisted around an outage, once their grace period is over.
    #[must_use]
    pub fn delisted(&self, now: Duration) -> Vec<TargetIdentity> {
        let lapsed = self.lapsed.iter();
        let lapsed = lapsed.filter_map(|target| self.targets.get(target));
        let lapsed = lapsed.filter(|state| {
            state.missing_since.is_some_and(|since| {
                let age = now.saturating_sub(since);
                age >= self.options.lapse_grace && age < DEPARTURE_REPORT_SPAN
            })
        });
        let lapsed = lapsed.map(|state| state.listed.identity());
        let delisted = self.departures.to_report(now, false).into_iter();
        delisted.chain(lapsed.take(LAPSED_REPORTS_MAX)).collect()
    }

    /// Counts the targets by state.
    #[must_use]
    pub fn counts(&self) -> TargetCounts {
        let mut counts = TargetCounts::default();
        for (target, state) in &self.targets {
            let count = if self.fault(target).is_some() {
                continue;
            } else if !state.listed.is_ready || self.departures.covers(target) {
                &mut counts.leaving
            } else if state.missing_since.is_some() {
                &mut counts.lapsed
            } else {
                &mut counts.ready
            };
            *count += 1;
        }
        let names: BTreeSet<&TargetId> = self.targets.keys().chain(self.refused.keys()).collect();
        let refused = names.iter().filter(|name| self.fault(name).is_some());
        counts.refused = u64::try_from(refused.count()).unwrap_or(u64::MAX);
        counts
    }

    /// Returns the entries to pass on to peers: those of targets that are listed, valid and not
    /// leaving. A target in its grace period is left out, since a recipient could not tell that it
    /// is.
    pub fn present(&self) -> impl Iterator<Item = &Listed> {
        let targets = self.targets.keys();
        targets.filter_map(|target| self.present_entry(target))
    }

    /// Returns the entry of a target if [`Self::present`] includes it.
    #[must_use]
    pub fn present_entry(&self, target: &str) -> Option<&Listed> {
        let state = self.targets.get(target)?;
        let is_present = state.missing_since.is_none()
            && self.is_sound(state)
            && !self.departures.covers(target);
        is_present.then_some(&state.listed)
    }

    /// Returns the targets whose entries changed since the previous call.
    pub fn take_touched(&mut self) -> BTreeSet<TargetId> {
        std::mem::take(&mut self.touched)
    }

    /// Returns a hash of the list as it is passed on to peers; `None` while there are recent
    /// departures, since each instance learns of them at another time.
    #[must_use]
    pub fn content_hash(&self, now: Duration) -> Option<u64> {
        if self.departures.is_in_flux(now) {
            return None;
        }
        let hashes = self.present().map(|listed| {
            let start = listed.incarnation.unwrap_or_default().to_string();
            let ready = if listed.is_ready { "ready" } else { "leaving" };
            let version = &listed.software_version;
            stable_hash(&[&listed.target, &start, &listed.service, ready, version])
        });
        Some(hashes.fold(0, |all, hash| all ^ hash))
    }

    /// Returns the address of an incarnation that may receive work, now or after a backoff.
    #[must_use]
    pub fn address_in_use(&self, now: Duration, identity: &TargetIdentity) -> Option<SocketAddr> {
        let state = self.targets.get(&identity.target)?;
        let is_current = state.listed.incarnation == identity.incarnation;
        (is_current && self.is_in_use(now, state)).then_some(state.listed.address)
    }

    /// Tells whether an incarnation is listed for a service.
    #[must_use]
    pub fn serves(&self, identity: &TargetIdentity, service: &str) -> bool {
        let state = self.targets.get(&identity.target);
        state.is_some_and(|state| {
            state.listed.incarnation == identity.incarnation && state.listed.service == service
        })
    }

    /// Tells whether the list contains an incarnation, or did until recently.
    ///
    /// ```
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert!(!table.lists(&TargetIdentity::new("unknown", None)));
    /// ```
    #[must_use]
    pub fn lists(&self, identity: &TargetIdentity) -> bool {
        let state = self.targets.get(&identity.target);
        state.is_some_and(|state| state.listed.incarnation == identity.incarnation)
    }

    /// Tells whether the list contains a target now.
    ///
    /// ```
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// assert!(!TargetTable::new("north", TargetTableOptions::default()).is_listed("unknown"));
    /// ```
    #[must_use]
    pub fn is_listed(&self, target: &str) -> bool {
        self.targets
            .get(target)
            .is_some_and(|state| state.missing_since.is_none())
    }
}
