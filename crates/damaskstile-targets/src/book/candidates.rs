//! Finds the few targets that a selection needs to weigh.

use damaskstile_core::prelude::*;

use super::Book;
use super::index::ServiceIndex;
use super::kept::FEW;
use super::weigh::Outlook;
use crate::known::{Known, PART_MEMORY};
use crate::work::Work;

/// Reserved targets that are weighed for one call, besides those of which this instance knows more
/// than the list says.
const KEPT_WEIGHED: usize = FEW;
/// Time between two sweeps, which drop the marks of targets of which no more is known than the list
/// says.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl Book {
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
        outlook: &Outlook<'a>,
        tried: &[TargetId],
    ) -> Vec<&'a Known> {
        let may_get = |known: &&Known| self.may_get(now, known, outlook.work, tried);
        let is_kept = |known: &&Known| outlook.kept.contains(known.listed.target.as_str());
        let home = outlook.home.into_iter();
        let home = home.filter_map(|target| self.targets.get(target));
        let marked = self.known_of(index.marked());
        let with_parts = self.known_of(with_parts(index, outlook.work));
        let of_kept = outlook.kept.targets().take(KEPT_WEIGHED);
        let of_kept = of_kept.filter_map(|target| self.targets.get(target));
        let mut candidates: Vec<&Known> = home
            .chain(marked)
            .chain(with_parts)
            .chain(of_kept)
            .collect();
        for (_, targets) in index.in_own_order() {
            let unmarked = targets.filter(|target| !index.is_marked(target));
            let mut others = self.known_of(unmarked).filter(|known| !is_kept(known));
            candidates.extend(others.find(may_get));
        }
        candidates
    }

    /// Tells whether a target may receive a call.
    pub(super) fn may_get(
        &self,
        now: Duration,
        known: &Known,
        work: &Work,
        tried: &[TargetId],
    ) -> bool {
        self.is_usable(now, known)
            && !tried.contains(&known.listed.target)
            && self.is_home(known, work)
            && self.has_place(now, known)
    }

    /// At intervals, drops the marks of targets of the same service of which no more is known than
    /// the list says, and forgets expired prompt parts.
    pub(super) fn sweep(&mut self, now: Duration, target: &str) {
        let Some(known) = self.targets.get(target) else {
            return;
        };
        let Some(index) = self.indexes.get_mut(&known.listed.service) else {
            return;
        };
        if now.saturating_sub(index.swept_at) < SWEEP_INTERVAL {
            return;
        }
        index.swept_at = now;
        index.forget_parts(now.saturating_sub(PART_MEMORY));
        let targets = &self.targets;
        index.sweep(|target| {
            let known = targets.get(target);
            known.is_some_and(|known| !known.is_as_listed(now))
        });
    }

    /// Records which target the shared parts of a prompt were sent to.
    pub(super) fn note_parts(&mut self, now: Duration, target: &str, work: &Work) {
        let Some(known) = self.targets.get(target) else {
            return;
        };
        if let Some(index) = self.indexes.get_mut(&known.listed.service) {
            for part in work.shared_parts() {
                index.note_part(now, part.name, target);
            }
        }
    }

    /// Adds the state of a target to the table and its indexes.
    pub(super) fn insert_known(&mut self, now: Duration, known: Known) {
        let listed = &known.listed;
        let own_seed = self.own_seed;
        let index = self.indexes.entry(listed.service.clone());
        let index = index.or_insert_with(|| ServiceIndex::new(own_seed));
        index.insert(&listed.target, &listed.data_centre);
        if !known.is_as_listed(now) {
            index.mark(&listed.target);
        }
        self.stated += usize::from(listed.incarnation.is_some());
        if known.missing_since.is_some() {
            self.lapsed.insert(listed.target.clone());
        }
        if known.limit.is_some() {
            self.limited.insert(listed.target.clone());
        }
        self.targets.insert(listed.target.clone(), known);
    }

    /// Removes the state of a target from the table and its indexes.
    pub(super) fn remove_known(&mut self, target: &str) -> Option<Known> {
        let known = self.targets.remove(target)?;
        let listed = &known.listed;
        if let Some(index) = self.indexes.get_mut(&listed.service) {
            index.remove(target, &listed.data_centre);
        }
        self.stated -= usize::from(listed.incarnation.is_some());
        self.lapsed.remove(target);
        self.limited.remove(target);
        Some(known)
    }
}

/// Returns the targets that shared parts of a prompt were last sent to.
pub(super) fn with_parts<'a>(
    index: &'a ServiceIndex,
    work: &Work,
) -> impl Iterator<Item = &'a TargetId> {
    let parts = work.shared_parts().iter().map(|part| part.name);
    let targets: BTreeSet<&TargetId> = parts.flat_map(|part| index.sent_part(part)).collect();
    targets.into_iter()
}
