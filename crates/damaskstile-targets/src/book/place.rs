//! `place` tells which targets may get a call for where they stand.

use damaskstile_core::prelude::*;

use super::Book;
use crate::emptied::{Emptied, EmptiedNews};
use crate::known::Known;
use crate::work::Work;

impl Book {
    /// Takes in all emptied data centres as of a version of the store; returns what that changed.
    pub fn take_emptied(
        &mut self,
        now: Duration,
        version: Version,
        all: &BTreeSet<DataCentreId>,
    ) -> EmptiedNews {
        let news = self.emptied.take_all(now, version, all);
        self.note_emptied(now, news)
    }

    /// Takes in which data centres were emptied or taken back up to a version of the store; returns
    /// what that changed.
    pub fn take_emptied_changes(
        &mut self,
        now: Duration,
        version: Version,
        changes: &[(DataCentreId, bool)],
    ) -> EmptiedNews {
        let news = self.emptied.take_changes(now, version, changes);
        self.note_emptied(now, news)
    }

    fn note_emptied(&mut self, now: Duration, news: Option<EmptiedNews>) -> EmptiedNews {
        let news = news.unwrap_or_default();
        for data_centre in &news.taken_back {
            self.chill_data_centre(now, data_centre);
        }
        news
    }

    /// Returns the emptied data centres.
    #[must_use]
    pub fn emptied(&self) -> &Emptied {
        &self.emptied
    }

    /// Tells whether a target's data centre may get work. While it is not known which ones are
    /// emptied, none may.
    pub(super) fn is_place_open(&self, known: &Known) -> bool {
        let is_known = !self.options.empties_data_centres || self.emptied.version().is_some();
        is_known && !self.emptied.covers(&known.listed.data_centre)
    }

    /// Tells whether a target stands in a region that may run a call.
    pub(super) fn is_home(&self, known: &Known, work: &Work) -> bool {
        let Some(homes) = &work.homes else {
            return true;
        };
        let region = self.options.regions.get(&known.listed.data_centre);
        region.is_some_and(|region| homes.contains(region))
    }

    /// Tells whether a target other than those tried may get a call now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{Book, BookOptions, Work};
    /// let book = Book::new("north", BookOptions::default());
    /// assert!(!book.has_other_target(Duration::ZERO, "s", &Work::default(), &[]));
    /// ```
    #[must_use]
    pub fn has_other_target(
        &self,
        now: Duration,
        service: &str,
        work: &Work,
        tried: &[TargetId],
    ) -> bool {
        let mut usable = self.usable(now, service);
        usable.any(|known| self.may_get(now, known, work, tried))
    }

    /// Tells whether any target may get a call now, and why none may.
    ///
    /// # Errors
    ///
    /// Returns the reason: no region that may run it has a target in use, or no target is in use at
    /// all, or those that are get as much as they bear.
    pub fn has_target(&self, now: Duration, service: &str, work: &Work) -> Result<(), RefusalCode> {
        let mut reason = RefusalCode::NoTarget;
        for known in self.usable(now, service) {
            if !self.is_home(known, work) {
                reason = RefusalCode::NoTargetInRegion;
            } else if self.has_place(now, known) {
                return Ok(());
            }
        }
        Err(reason)
    }
}
