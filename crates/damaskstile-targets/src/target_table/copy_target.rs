//! Selects the second targets that receive copies of runs.

use damaskstile_core::prelude::*;

use super::TargetTable;
use super::cost::tokens;
use super::cost_estimate::least_passing;
use crate::choice::Choice;
use crate::target_state::TargetState;
use crate::work::Work;

/// Failure share from which a target is suspect: two failed calls in a row, or one without any
/// answer. A single failure may be a rejection by a target that is full.
const SUSPECT_FAILURE_SHARE: f64 = 0.4;

impl TargetTable {
    /// Tells whether calls to a target failed recently, so that it may be about to crash.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert!(!table.is_suspect(Duration::ZERO, "unknown"));
    /// ```
    #[must_use]
    pub fn is_suspect(&self, now: Duration, target: &str) -> bool {
        let state = self.targets.get(target);
        state.is_some_and(|state| state.failure_share(now) >= SUSPECT_FAILURE_SHARE)
    }

    /// Tells whether an incarnation is known to drain or was replaced by a newer one, as after a
    /// drain. It may accept no connections while it still completes its runs, so that does not show
    /// that it has crashed.
    ///
    /// ```
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert!(!table.may_drain(&TargetIdentity::new("unknown", None)));
    /// ```
    #[must_use]
    pub fn may_drain(&self, identity: &TargetIdentity) -> bool {
        self.departures.is_final(identity) || self.newest(&identity.target) > identity.incarnation
    }

    /// Selects the target that holds a copy of a run: the least loaded usable one of the same
    /// service that is neither cold, limited nor suspect, in the data centre of the run's target if
    /// there is one. Transfers between data centres take twice as long. `tried` contains the run's
    /// own target.
    ///
    /// The returned choice is that of a call without a prompt, since the copy holds its memory.
    #[must_use]
    pub fn choose_copy_target(
        &self,
        now: Duration,
        run: &Choice,
        work: &Work,
        tried: &[TargetId],
    ) -> Option<Choice> {
        let listed = &self.targets.get(&run.target)?.listed;
        let index = self.indexes.get(&listed.service)?;
        let may_hold = |state: &&TargetState| {
            state.listed.service == listed.service
                && state.listed.software_version == run.software_version
                && self.may_get(now, state, work, tried)
                && !state.is_cold(now)
                && !self.is_call_limited(now, state)
                && !self.is_suspect(now, &state.listed.target)
        };
        // All other targets are equally loaded, so the first one in this instance's own order
        // stands for those of its data centre.
        let with_copies = self.copies.keys().filter(|target| !index.is_marked(target));
        let with_copies = with_copies.filter_map(|target| self.targets.get(target));
        let mut candidates: Vec<&TargetState> =
            self.states_of(index.marked()).chain(with_copies).collect();
        for (_, targets) in index.in_own_order() {
            let others = targets
                .filter(|target| !index.is_marked(target) && !self.copies.contains_key(*target));
            candidates.extend(self.states_of(others).find(may_hold));
        }
        let is_less = |one: &&TargetState, other: &&TargetState| {
            let key = |state: &TargetState| {
                let is_far = state.listed.data_centre != listed.data_centre;
                let position = index.own_position(&state.listed.target);
                (is_far, self.load_ms(now, state), position)
            };
            key(one) < key(other)
        };
        let state = least_passing(candidates, is_less, |state| may_hold(state))?;
        Some(Choice {
            target: state.listed.target.clone(),
            incarnation: state.listed.incarnation,
            address: state.listed.address,
            software_version: state.listed.software_version.clone(),
            cost_ms: self.load_ms(now, state),
            uncached_tokens: 0,
            fetch_from: None,
            prefill_ms: 0.0,
            ahead_ms: state.own_prefill_ms() + state.reported_prefill(now).as_secs_f64() * 1_000.0,
            running: tokens(state.own_running()) + state.others(now),
            expected_ms: 0.0,
            usual_ms: None,
            speed_factor: None,
        })
    }

    /// Records that a run's copy is being sent to a target.
    pub fn copy_begun(&mut self, target: &str) {
        *self.copies.entry(target.to_owned()).or_default() += 1;
    }

    /// Records that a run with a copy at a target has ended.
    pub fn copy_ended(&mut self, target: &str) {
        if let Some(copies) = self.copies.get_mut(target) {
            *copies = copies.saturating_sub(1);
            if *copies == 0 {
                self.copies.remove(target);
            }
        }
    }

    /// Returns the load of a target that matters to copies. A copy counts as much as a running
    /// call, because it occupies as much memory.
    fn load_ms(&self, now: Duration, state: &TargetState) -> f64 {
        let copies = self.copies.get(&state.listed.target).copied();
        let running = tokens(state.own_running()) + state.others(now);
        let prefill_ms =
            state.own_prefill_ms() + state.reported_prefill(now).as_secs_f64() * 1_000.0;
        prefill_ms + (running + tokens(copies.unwrap_or(0))) * self.options.running_ms
    }
}
