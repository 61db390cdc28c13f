//! `pause` keeps calls from targets that asked for none for a while.

use damaskstile_core::prelude::*;

use super::Book;
use crate::choice::Choice;

impl Book {
    /// Takes in that the target of a call wants nothing from this instance for a time. It ends with
    /// the target's incarnation.
    pub fn pause(&mut self, now: Duration, choice: &Choice, time: Duration) {
        if let Some(known) = self.chosen(choice) {
            known.pause(now, time);
        }
    }

    /// Returns the time until a target of a service wants work again; `None` where one does now, or
    /// none is out of use for a pause alone.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{Book, BookOptions};
    /// let book = Book::new("north", BookOptions::default());
    /// assert_eq!(book.paused_for(Duration::ZERO, "s"), None);
    /// ```
    #[must_use]
    pub fn paused_for(&self, now: Duration, service: &str) -> Option<Duration> {
        let mut shortest = None;
        for known in self.in_use(now, service) {
            let left = known.paused_for(now);
            if left.is_zero() {
                return None;
            }
            shortest = Some(shortest.map_or(left, |shortest: Duration| shortest.min(left)));
        }
        shortest
    }

    /// Returns the number of targets that want nothing from this instance now.
    #[must_use]
    pub fn paused_targets(&self, now: Duration) -> usize {
        let known = self.targets.values();
        known
            .filter(|known| !known.paused_for(now).is_zero())
            .count()
    }
}
