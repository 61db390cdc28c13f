//! Finds the few targets that a selection needs to weigh.

use damaskstile_core::prelude::*;

use super::TargetTable;
use super::cost::CallContext;
use super::index::ServiceIndex;
use super::reserved_targets::LISTED_MAX;
use crate::target_state::{PART_MEMORY, TargetState};
use crate::work::Work;

/// Reserved targets that are weighed for one call, besides those of which this instance knows more
/// than the list says.
const RESERVED_WEIGHED_MAX: usize = LISTED_MAX;
/// Time between two sweeps, which drop the marks of targets of which no more is known than the list
/// says.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl TargetTable {
    /// Returns the targets to weigh for a call, some of which may not receive it. Of targets in the
    /// same data centre that cost the same, only the first is included.
    ///
    /// All targets of which this instance knows no more than the list says cost the same, apart
    /// from their data centre and whether they are reserved for long prompts. So one of each kind
    /// stands for all, and the cost of a selection does not grow with the list.
    pub(super) fn candidates<'a>(
        &'a self,
        now: Duration,
        index: &'a ServiceIndex,
        context: &CallContext<'a>,
        tried: &[TargetId],
    ) -> Vec<&'a TargetState> {
        let may_get = |state: &&TargetState| self.may_get(now, state, context.work, tried);
        let is_reserved = |state: &&TargetState| {
            let target = state.listed.target.as_str();
            context.reserved.contains(target)
                || context.bulk.is_some_and(|bulk| bulk.contains(target))
        };
        let affinity_target = context.affinity_target.into_iter();
        let affinity_target = affinity_target.filter_map(|target| self.targets.get(target));
        let marked = self.states_of(index.marked());
        let with_parts = self.states_of(with_parts(index, context.work));
        let of_reserved = context.reserved.targets().take(RESERVED_WEIGHED_MAX);
        let of_reserved = of_reserved.filter_map(|target| self.targets.get(target));
        let bulk = context.bulk.into_iter();
        let of_bulk = bulk.flat_map(|bulk| bulk.index.bulk_from_own_position(bulk.from_key));
        let of_bulk = self.states_of(of_bulk.take(RESERVED_WEIGHED_MAX));
        let mut candidates: Vec<&TargetState> = affinity_target
            .chain(marked)
            .chain(with_parts)
            .chain(of_reserved)
            .chain(of_bulk)
            .collect();
        for (_, targets) in index.in_own_order() {
            let unmarked = targets.filter(|target| !index.is_marked(target));
            let mut others = self.states_of(unmarked).filter(|state| !is_reserved(state));
            candidates.extend(others.find(may_get));
        }
        candidates
    }

    /// Tells whether a target may receive a call.
    pub(super) fn may_get(
        &self,
        now: Duration,
        state: &TargetState,
        work: &Work,
        tried: &[TargetId],
    ) -> bool {
        self.is_usable(now, state)
            && !tried.contains(&state.listed.target)
            && self.is_in_home_region(state, work)
            && Self::is_of_version(state, work)
            && Self::may_have_weights(state, work)
            && self.has_room(now, state)
            && self.has_brittle_room(now, state)
    }

    /// At intervals, drops the marks of targets of the same service of which no more is known than
    /// the list says, and forgets expired prompt parts.
    pub(super) fn sweep(&mut self, now: Duration, target: &str) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        let Some(index) = self.indexes.get_mut(&state.listed.service) else {
            return;
        };
        if now.saturating_sub(index.swept_at) < SWEEP_INTERVAL {
            return;
        }
        index.swept_at = now;
        index.forget_parts(now.saturating_sub(PART_MEMORY));
        let targets = &self.targets;
        index.sweep(|target| {
            let state = targets.get(target);
            state.is_some_and(|state| !state.is_as_listed(now))
        });
    }

    /// Records which target the shared parts of a prompt were sent to.
    pub(super) fn note_parts(&mut self, now: Duration, target: &str, work: &Work) {
        let Some(state) = self.targets.get(target) else {
            return;
        };
        if let Some(index) = self.indexes.get_mut(&state.listed.service) {
            for part in work.shared_parts() {
                index.note_part(now, part.name, target);
            }
        }
    }

    /// Adds the state of a target to the table and its indexes.
    pub(super) fn insert_state(&mut self, now: Duration, state: TargetState) {
        let listed = &state.listed;
        let own_seed = self.own_seed;
        let index = self.indexes.entry(listed.service.clone());
        let index = index.or_insert_with(|| ServiceIndex::new(own_seed));
        index.insert(&listed.target, &listed.data_centre);
        if !state.is_as_listed(now) {
            index.mark(&listed.target);
        }
        let versions = self.versions.entry(listed.service.clone()).or_default();
        versions.list(listed);
        self.stated += usize::from(listed.incarnation.is_some());
        if state.missing_since.is_some() {
            self.lapsed.insert(listed.target.clone());
        }
        if state.limit.is_some() {
            self.limited.insert(listed.target.clone());
        }
        self.targets.insert(listed.target.clone(), state);
    }

    /// Removes the state of a target from the table and its indexes.
    pub(super) fn remove_state(&mut self, now: Duration, target: &str) -> Option<TargetState> {
        let state = self.targets.remove(target)?;
        let listed = &state.listed;
        if let Some(index) = self.indexes.get_mut(&listed.service) {
            index.remove(target, &listed.data_centre);
        }
        if let Some(versions) = self.versions.get_mut(&listed.service) {
            versions.unlist(now, listed);
        }
        self.stated -= usize::from(listed.incarnation.is_some());
        self.lapsed.remove(target);
        self.limited.remove(target);
        Some(state)
    }
}

/// Returns the targets that shared parts of a prompt were last sent to.
pub(super) fn with_parts<'a>(
    index: &'a ServiceIndex,
    work: &Work,
) -> impl Iterator<Item = &'a TargetId> {
    let parts = work.shared_parts().iter().map(|part| part.name);
    let targets: BTreeSet<&TargetId> = parts.flat_map(|part| index.targets_of_part(part)).collect();
    targets.into_iter()
}
