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
pub struct TargetWords {
    gone_at: BTreeMap<TargetId, Version>,
}

impl TargetWords {
    /// Records that a target was delisted at a version.
    pub fn note_gone(&mut self, target: &str, version: Version) {
        let gone_at = self.gone_at.entry(target.to_owned()).or_default();
        *gone_at = version.max(*gone_at);
        if self.gone_at.len() > DELISTED_MAX {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.gone_at.iter().min_by_key(|(_, version)| **version);
        if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
            self.gone_at.remove(&oldest);
        }
    }

    /// Returns the last known version at which a target was delisted; 0 if there is none.
    #[must_use]
    pub fn gone_at(&self, target: &str) -> Version {
        self.gone_at.get(target).copied().unwrap_or_default()
    }

    /// Removes from a list the targets that were delisted at the list's version or later, and
    /// forgets the delistings that the list supersedes.
    ///
    /// ```
    /// use damaskstile_gateway::target_words::TargetWords;
    /// let mut words = TargetWords::default();
    /// words.note_gone("t", 7);
    /// assert!(words.take_list(9, Vec::new()).is_empty());
    /// assert_eq!(words.gone_at("t"), 7);
    /// ```
    pub fn take_list(
        &mut self,
        version: Version,
        mut all: Vec<Result<Listed, Refused>>,
    ) -> Vec<Result<Listed, Refused>> {
        all.retain(|entry| {
            let target = entry
                .as_ref()
                .map_or_else(|refused| &refused.target, |listed| &listed.target);
            self.take_entry(version, target)
        });
        all
    }

    /// Records that a target was listed at a version; returns false if it was delisted at that
    /// version or later.
    pub fn take_entry(&mut self, version: Version, target: &str) -> bool {
        let is_newer = version > self.gone_at(target);
        if is_newer {
            self.gone_at.remove(target);
        }
        is_newer
    }
}
