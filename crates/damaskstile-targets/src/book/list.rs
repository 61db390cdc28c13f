//! Keeps the target table up to date with the target list and with peer reports on it.

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use super::Book;
use crate::departures::LEAVING_NEWS;
use crate::known::Known;
use crate::listed::Listed;
use crate::refused::Refused;
use crate::target_counts::TargetCounts;

/// Targets delisted around an outage that are reported in one digest.
const LAPSED_TOLD_MAX: usize = 16;
/// Fault of an entry that does not state its target's start although others do.
const FAULT_NO_START: &str = "the start is not stated";

impl Book {
    /// Applies one entry of the target list. Returns whether that changed the target's incarnation
    /// or readiness, made it cold, or put it into or out of use because of an invalid entry.
    ///
    /// An entry of an incarnation older than the newest known one is late and is ignored. An entry
    /// that does not state the start of a target whose start is known is refused.
    pub fn list(&mut self, now: Duration, listed: Listed) -> bool {
        let is_news = self.take(now, listed);
        self.look_at_starts();
        is_news
    }

    fn take(&mut self, now: Duration, listed: Listed) -> bool {
        if listed.incarnation < self.newest(&listed.target) {
            return listed.incarnation.is_none()
                && self.mark_refused(&listed.target, FAULT_NO_START);
        }
        let was_refused = self.refused.remove(&listed.target).is_some();
        let identity = listed.identity();
        let was_left = self.departures.covers(&listed.target);
        let before = self.targets.get(&listed.target);
        let is_same = before
            .is_some_and(|known| known.missing_since.is_none() && known.listed.is_like(&listed));
        if was_refused || was_left || !is_same {
            self.touched.insert(listed.target.clone());
        }
        if listed.is_ready {
            self.departures.listed_ready(&identity);
        } else {
            self.departures.leave(now, &identity);
        }
        if is_same && let Some(known) = self.targets.get_mut(&listed.target) {
            let is_chilled = known.update(now, listed);
            return self.note_chilled(is_chilled, &identity) || was_refused;
        }
        // Its position in the index may change.
        match self.remove_known(&listed.target) {
            Some(mut known) if known.listed.incarnation == listed.incarnation => {
                let was_ready = known.listed.is_ready && known.missing_since.is_none();
                let is_ready = listed.is_ready;
                let is_chilled = known.update(now, listed);
                self.insert_known(now, known);
                self.note_chilled(is_chilled, &identity) || was_refused || was_ready != is_ready
            }
            _ => {
                // A new incarnation has none of its predecessor's cached prompts or running calls.
                self.insert_known(now, Known::new(now, listed));
                true
            }
        }
    }

    fn note_chilled(&mut self, is_chilled: bool, identity: &TargetIdentity) -> bool {
        if is_chilled {
            self.touched.insert(identity.target.clone());
        }
        is_chilled
    }

    /// Applies an invalid entry; returns whether its fault is new.
    ///
    /// The target listed under its name is out of use until the next valid entry. This is no drain:
    /// an entry of another writer must not take a working target out of use for good.
    pub fn refuse(&mut self, entry: &Refused) -> bool {
        self.mark_refused(&entry.target, &entry.fault)
    }

    fn mark_refused(&mut self, target: &str, fault: &str) -> bool {
        if let Some(known) = self.targets.get_mut(target) {
            known.missing_since = None;
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
            let known = self.targets.get(target)?;
            self.is_start_missing(known).then_some(FAULT_NO_START)
        })
    }

    /// Applies the removal of a target from the list.
    ///
    /// Around an outage of the list, entries expire although their targets are alive, and reappear
    /// soon; such a target stays in use for a short grace period. At other times it is treated as
    /// leaving.
    pub fn unlist(&mut self, now: Duration, target: &str, is_around_outage: bool) {
        self.touched.insert(target.to_owned());
        // The last entry under this name was invalid, so there is no target to wait for.
        let was_refused = self.refused.remove(target).is_some();
        if !is_around_outage || was_refused {
            let known = self.targets.get(target);
            let incarnation = known.and_then(|known| known.listed.incarnation);
            self.vanish(now, &TargetIdentity::new(target, incarnation));
            self.remove_known(target);
        } else if let Some(known) = self.targets.get_mut(target) {
            known.missing_since.get_or_insert(now);
            self.lapsed.insert(target.to_owned());
        }
        self.look_at_starts();
    }

    /// Applies the whole list; targets that it does not contain are unlisted. Returns the refused
    /// entries whose fault is new.
    pub fn list_all(
        &mut self,
        now: Duration,
        all: Vec<Result<Listed, Refused>>,
        is_around_outage: bool,
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
            .filter(|target| !named.contains(*target))
            .cloned()
            .collect();
        for target in gone {
            self.unlist(now, &target, is_around_outage);
        }
        let mut news = Vec::new();
        for entry in all {
            match entry {
                Ok(listed) => {
                    let target = listed.target.clone();
                    let is_news = self.take(now, listed);
                    if let Some(fault) = self.refused.get(&target).filter(|_| is_news) {
                        let fault = fault.clone();
                        news.push(Refused { target, fault });
                    }
                }
                Err(refused) if self.refuse(&refused) => news.push(refused),
                Err(_) => {}
            }
        }
        self.look_at_starts();
        news
    }

    /// Records that an incarnation drains or has ended; returns whether that is new.
    pub fn leave(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        !self.is_outdated(identity) && self.departures.leave(now, identity)
    }

    /// Records that an incarnation was delisted; returns whether that is new.
    pub fn vanish(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        !self.is_outdated(identity) && self.departures.vanish(now, identity)
    }

    /// Returns the newest known incarnation of a target, from the list or from departures.
    #[must_use]
    pub fn newest(&self, target: &str) -> Option<TargetIncarnation> {
        let known = self.targets.get(target);
        let listed = known.and_then(|known| known.listed.incarnation);
        listed.max(self.departures.newest(target))
    }

    fn is_outdated(&self, identity: &TargetIdentity) -> bool {
        identity.incarnation < self.newest(&identity.target)
    }

    /// Determines whether targets state their starts: at least half of them must do so. One stray
    /// entry must not decide this for all others.
    fn look_at_starts(&mut self) {
        let stated = self.stated;
        self.is_start_stated = stated > 0 && stated * 2 >= self.targets.len();
    }

    pub(super) fn is_start_missing(&self, known: &Known) -> bool {
        self.is_start_stated && known.listed.incarnation.is_none()
    }

    /// Returns the incarnations that recently began to drain, to report them to peers.
    #[must_use]
    pub fn draining(&self, now: Duration) -> Vec<TargetIdentity> {
        self.departures.told(now, true)
    }

    /// Returns the recently delisted incarnations, to report them to peers. This includes those
    /// that were delisted around an outage, once their grace period is over.
    #[must_use]
    pub fn vanished(&self, now: Duration) -> Vec<TargetIdentity> {
        let lapsed = self.lapsed.iter();
        let lapsed = lapsed.filter_map(|target| self.targets.get(target));
        let lapsed = lapsed.filter(|known| {
            known.missing_since.is_some_and(|since| {
                let age = now.saturating_sub(since);
                age >= self.options.lapse_grace && age < LEAVING_NEWS
            })
        });
        let lapsed = lapsed.map(|known| known.listed.identity());
        let vanished = self.departures.told(now, false).into_iter();
        vanished.chain(lapsed.take(LAPSED_TOLD_MAX)).collect()
    }

    /// Counts the targets by state.
    #[must_use]
    pub fn counts(&self) -> TargetCounts {
        let mut counts = TargetCounts::default();
        for (target, known) in &self.targets {
            let count = if self.fault(target).is_some() {
                continue;
            } else if !known.listed.is_ready || self.departures.covers(target) {
                &mut counts.leaving
            } else if known.missing_since.is_some() {
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
        let known = self.targets.get(target)?;
        let is_present = known.missing_since.is_none()
            && self.is_sound(known)
            && !self.departures.covers(target);
        is_present.then_some(&known.listed)
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
            stable_hash(&[&listed.target, &start, &listed.service, ready])
        });
        Some(hashes.fold(0, |all, hash| all ^ hash))
    }

    /// Tells whether the list contains an incarnation, or did until recently.
    ///
    /// ```
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_targets::{Book, BookOptions};
    /// let book = Book::new("north", BookOptions::default());
    /// assert!(!book.lists(&TargetIdentity::new("unknown", None)));
    /// ```
    #[must_use]
    pub fn lists(&self, identity: &TargetIdentity) -> bool {
        let known = self.targets.get(&identity.target);
        known.is_some_and(|known| known.listed.incarnation == identity.incarnation)
    }

    /// Tells whether the list contains a target now.
    ///
    /// ```
    /// use damaskstile_targets::{Book, BookOptions};
    /// assert!(!Book::new("north", BookOptions::default()).is_named("unknown"));
    /// ```
    #[must_use]
    pub fn is_named(&self, target: &str) -> bool {
        self.targets
            .get(target)
            .is_some_and(|known| known.missing_since.is_none())
    }
}
