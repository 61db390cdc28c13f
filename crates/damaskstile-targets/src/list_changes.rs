//! `list_changes` remembers at which versions of the list its entries changed.

use damaskstile_core::prelude::*;

/// Changes remembered. A fleet of thousands of targets replaces all of them now and then.
const CHANGES_MAX: usize = 8_192;

/// `ListChanges` remembers at which versions of the list its entries changed, so that whoever has
/// an older list can be given what differs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListChanges {
    /// Version from which on all changes are known; `None` before a list was taken in.
    complete_from: Option<Version>,
    changed_at: BTreeMap<TargetId, Version>,
}

impl ListChanges {
    /// Notes that the whole list was taken in as of a version. What came and went before is not known.
    pub fn restart(&mut self, version: Version) {
        self.complete_from = Some(version);
        self.changed_at.clear();
    }

    /// Notes which entries changed up to a version of the list.
    pub fn note(&mut self, version: Version, targets: impl IntoIterator<Item = TargetId>) {
        for target in targets {
            let changed_at = self.changed_at.entry(target).or_default();
            *changed_at = version.max(*changed_at);
        }
        if self.changed_at.len() > CHANGES_MAX {
            self.forget_older_half();
        }
    }

    /// Returns the entries that changed after a version; `None` where that is not known for all.
    ///
    /// ```
    /// use damaskstile_targets::ListChanges;
    /// let mut changes = ListChanges::default();
    /// changes.restart(5);
    /// changes.note(7, ["b".to_owned()]);
    /// assert_eq!(changes.since(5).unwrap(), ["b"]);
    /// assert!(changes.since(7).unwrap().is_empty());
    /// assert_eq!(changes.since(4), None);
    /// ```
    #[must_use]
    pub fn since(&self, version: Version) -> Option<Vec<&TargetId>> {
        self.complete_from.filter(|from| *from <= version)?;
        let changed = self.changed_at.iter();
        let changed = changed.filter(|(_, changed_at)| **changed_at > version);
        Some(changed.map(|(target, _)| target).collect())
    }

    fn forget_older_half(&mut self) {
        let mut versions: Vec<Version> = self.changed_at.values().copied().collect();
        versions.sort_unstable();
        let from = versions[versions.len() / 2];
        self.changed_at.retain(|_, changed_at| *changed_at > from);
        self.complete_from = Some(from);
    }
}
