//! Remembers at which versions of the target list its entries changed.

use damaskstile_core::prelude::*;

/// Changes remembered. A fleet of thousands of targets occasionally replaces all of them.
const CHANGES_MAX: usize = 8_192;

/// Versions of the target list at which its entries changed, so that a reader of an older version
/// can be sent the difference.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListChanges {
    /// Version since which all changes are known; `None` before a list was applied.
    complete_from: Option<Version>,
    changed_at: BTreeMap<TargetId, Version>,
}

impl ListChanges {
    /// Records that the whole list was applied as of a version. Earlier changes are unknown.
    pub fn restart(&mut self, version: Version) {
        self.complete_from = Some(version);
        self.changed_at.clear();
    }

    /// Records which entries changed up to a version of the list.
    pub fn note(&mut self, version: Version, targets: impl IntoIterator<Item = TargetId>) {
        for target in targets {
            let changed_at = self.changed_at.entry(target).or_default();
            *changed_at = version.max(*changed_at);
        }
        if self.changed_at.len() > CHANGES_MAX {
            self.forget_older_half();
        }
    }

    /// Returns the entries that changed after a version; `None` if not all changes since then are
    /// known.
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
