//! Backoffs: keeps calls away from targets that asked for none for a time.

use damaskstile_core::prelude::*;

use super::TargetTable;
use crate::choice::Choice;

impl TargetTable {
    /// Records that the target of a call accepts nothing from this instance for a time. The backoff
    /// ends early if a new incarnation replaces the target's present one.
    pub fn start_backoff(&mut self, now: Duration, choice: &Choice, time: Duration) {
        if let Some(state) = self.chosen(choice) {
            state.start_backoff(now, time);
        }
    }

    /// Returns the time until the first target of a service accepts work again; `None` if one
    /// accepts work now, or if none is in use.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert_eq!(table.backoff_left(Duration::ZERO, "s"), None);
    /// ```
    #[must_use]
    pub fn backoff_left(&self, now: Duration, service: &str) -> Option<Duration> {
        let mut shortest = None;
        for state in self.in_use(now, service) {
            let left = state.backoff_left(now);
            if left.is_zero() {
                return None;
            }
            shortest = Some(shortest.map_or(left, |shortest: Duration| shortest.min(left)));
        }
        shortest
    }

    /// Returns the number of targets in backoff.
    #[must_use]
    pub fn targets_in_backoff(&self, now: Duration) -> usize {
        let states = self.targets.values();
        states
            .filter(|state| !state.backoff_left(now).is_zero())
            .count()
    }
}
