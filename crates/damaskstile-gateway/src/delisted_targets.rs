//! Versions of the target list at which targets were delisted, to discard older reports.

use damaskstile_core::prelude::*;
use damaskstile_targets::{Listed, Refused};

/// Maximum number of delisted targets remembered. Late reports are seconds old, and a fleet of
/// hundreds of targets replaces all of them a few times an hour at most.
const DELISTED_MAX: usize = 4096;

/// Versions of the target list at which targets were delisted.
///
/// Lists and digests may arrive out of order: a list that a peer or the store made before a target
/// was delisted may arrive after the report of the delisting. If the last arrival counted as the
/// newest, it would bring back a target that accepts no more work, possibly for long. All reports
/// carry versions of the store, so the higher version counts, in whatever order they arrive.
#[derive(Debug, Clone, Default)]
pub struct DelistedTargets {
    delisted_at: BTreeMap<TargetId, Version>,
}

impl DelistedTargets {
    /// Records that a target was delisted at a version.
    pub fn note_delisted(&mut self, target: &str, version: Version) {
        let delisted_at = self.delisted_at.entry(target.to_owned()).or_default();
        *delisted_at = version.max(*delisted_at);
        if self.delisted_at.len() > DELISTED_MAX {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.delisted_at.iter().min_by_key(|(_, version)| **version);
        if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
            self.delisted_at.remove(&oldest);
        }
    }

    /// Returns the last known version at which a target was delisted; 0 if there is none.
    #[must_use]
    pub fn delisted_at(&self, target: &str) -> Version {
        self.delisted_at.get(target).copied().unwrap_or_default()
    }

    /// Removes from a list the targets that were delisted at the list's version or later, and
    /// forgets the delistings that the list supersedes.
    ///
    /// ```
    /// use damaskstile_gateway::delisted_targets::DelistedTargets;
    /// let mut delisted = DelistedTargets::default();
    /// delisted.note_delisted("t", 7);
    /// assert!(delisted.filter_list(9, Vec::new()).is_empty());
    /// assert_eq!(delisted.delisted_at("t"), 7);
    /// ```
    pub fn filter_list(
        &mut self,
        version: Version,
        mut all: Vec<Result<Listed, Refused>>,
    ) -> Vec<Result<Listed, Refused>> {
        all.retain(|entry| {
            let target = entry
                .as_ref()
                .map_or_else(|refused| &refused.target, |listed| &listed.target);
            self.accept_entry(version, target)
        });
        all
    }

    /// Records that a target was listed at a version; returns false if it was delisted at that
    /// version or later.
    pub fn accept_entry(&mut self, version: Version, target: &str) -> bool {
        let is_newer = version > self.delisted_at(target);
        if is_newer {
            self.delisted_at.remove(target);
        }
        is_newer
    }
}
