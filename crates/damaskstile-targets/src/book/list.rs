//! `list` keeps a book up to date with the list of targets and with what peers tell of it.

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use super::Book;
use crate::departures::LEAVING_NEWS;
use crate::known::Known;
use crate::listed::Listed;
use crate::refused::Refused;
use crate::target_counts::TargetCounts;

/// Targets that lapsed around an outage and are told in one digest.
const LAPSED_TOLD_MAX: usize = 16;
/// Fault of an entry that does not state its target's start where others do.
const FAULT_NO_START: &str = "the start is not stated";

impl Book {
    /// Takes in one entry of the list; returns whether its readiness changed.
    ///
    /// An entry of an incarnation older than the newest one known came late and is ignored. One
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
        // Its place in the orders may be another.
        match self.remove_known(&listed.target) {
            Some(mut known) if known.listed.incarnation == listed.incarnation => {
                let was_ready = known.listed.is_ready && known.missing_since.is_none();
                let is_ready = listed.is_ready;
                let is_chilled = known.update(now, listed);
                self.insert_known(now, known);
                self.note_chilled(is_chilled, &identity) || was_refused || was_ready != is_ready
            }
            _ => {
                // A new incarnation holds nothing of what the one before it held.
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

    /// Takes in an entry that names no target to use; returns whether that is news.
    ///
    /// What was listed under its name is out of use until the next sound entry. That is no drain:
    /// another writer's entry must not take out a sound target for good.
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

    /// Returns what is wrong with the entry of a name, if it names no target to use.
    #[must_use]
    pub fn fault(&self, target: &str) -> Option<&str> {
        let refused = self.refused.get(target).map(String::as_str);
        refused.or_else(|| {
            let known = self.targets.get(target)?;
            self.is_start_missing(known).then_some(FAULT_NO_START)
        })
    }

    /// Takes in that the list no longer holds a target.
    ///
    /// Around an outage of the list entries lapse although their targets live, and come back
    /// soon; such a target stays in use for a short grace. At other times it is leaving.
    pub fn unlist(&mut self, now: Duration, target: &str, is_around_outage: bool) {
        self.touched.insert(target.to_owned());
        // What stood there last named no target, so there is none to wait for.
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

    /// Takes in the whole list: targets that it does not name are unlisted. Returns the refused
    /// entries that are news.
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

    /// Takes in that an incarnation drains or has ended; returns whether that is news.
    pub fn leave(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        !self.is_outdated(identity) && self.departures.leave(now, identity)
    }

    /// Takes in that an incarnation vanished from the list; returns whether that is news.
    pub fn vanish(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        !self.is_outdated(identity) && self.departures.vanish(now, identity)
    }

    /// Returns the newest incarnation of a name, from the list or from whoever told that it left.
    #[must_use]
    pub fn newest(&self, target: &str) -> Option<TargetIncarnation> {
        let known = self.targets.get(target);
        let listed = known.and_then(|known| known.listed.incarnation);
        listed.max(self.departures.newest(target))
    }

    fn is_outdated(&self, identity: &TargetIdentity) -> bool {
        identity.incarnation < self.newest(&identity.target)
    }

    /// Finds out whether targets state their starts: at least as many as do not. One stray entry
    /// must not decide that for all others.
    fn look_at_starts(&mut self) {
        let stated = self.stated;
        self.is_start_stated = stated > 0 && stated * 2 >= self.targets.len();
    }

    pub(super) fn is_start_missing(&self, known: &Known) -> bool {
        self.is_start_stated && known.listed.incarnation.is_none()
    }

    /// Returns the incarnations that lately began to drain, to tell peers.
    #[must_use]
    pub fn draining(&self, now: Duration) -> Vec<TargetIdentity> {
        self.departures.told(now, true)
    }

    /// Returns the incarnations that lately vanished from the list, to tell peers: those that
    /// lapsed around an outage too, once they are no longer waited for.
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

    /// Counts the targets by what keeps them in or out of use.
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

    /// Returns what the list says of the targets that are there, to hand it on. One that the list
    /// does not show now is left out: whoever takes it over could not tell that it is waited for.
    pub fn present(&self) -> impl Iterator<Item = &Listed> {
        let targets = self.targets.keys();
        targets.filter_map(|target| self.present_entry(target))
    }

    /// Returns what the list says of a target, if it may be handed on as [`Self::present`] tells.
    #[must_use]
    pub fn present_entry(&self, target: &str) -> Option<&Listed> {
        let known = self.targets.get(target)?;
        let is_present = known.missing_since.is_none()
            && self.is_sound(known)
            && !self.departures.covers(target);
        is_present.then_some(&known.listed)
    }

    /// Returns the targets whose entries changed since this was last asked.
    pub fn take_touched(&mut self) -> BTreeSet<TargetId> {
        std::mem::take(&mut self.touched)
    }

    /// Returns a hash of the list as it may be handed on; `None` while targets are leaving, of which
    /// each instance hears at another time.
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

    /// Tells whether the list names an incarnation, or named it until lately.
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

    /// Tells whether the list names a target now.
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
