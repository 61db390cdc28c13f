//! `target_words` remembers at which version of the list targets were gone, to tell older words of
//! them from newer ones.

use damaskstile_core::prelude::*;
use damaskstile_targets::{Listed, Refused};

/// Targets remembered. Late words are seconds old, and a fleet of hundreds of targets replaces all
/// of them a few times an hour at most.
const GONE_MAX: usize = 4096;

/// `TargetWords` remembers at which version of the list targets were gone.
///
/// Lists and digests overtake each other: a list that a peer or the store made before a target
/// vanished may come after the word that it has. Taken for the newest because it came last, it
/// would bring back a target that takes no more work, and nothing need say so again soon. All
/// words bear versions of the store, so the higher one counts, in whatever order they come.
#[derive(Debug, Clone, Default)]
pub struct TargetWords {
    gone_at: BTreeMap<TargetId, Version>,
}

impl TargetWords {
    /// Notes that a target was gone at a version.
    pub fn note_gone(&mut self, target: &str, version: Version) {
        let gone_at = self.gone_at.entry(target.to_owned()).or_default();
        *gone_at = version.max(*gone_at);
        if self.gone_at.len() > GONE_MAX {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.gone_at.iter().min_by_key(|(_, version)| **version);
        if let Some(oldest) = oldest.map(|(target, _)| target.clone()) {
            self.gone_at.remove(&oldest);
        }
    }

    /// Returns the version at which a target was last known to be gone; 0 where it never was.
    #[must_use]
    pub fn gone_at(&self, target: &str) -> Version {
        self.gone_at.get(target).copied().unwrap_or_default()
    }

    /// Leaves out of a list the targets that were gone at a later version, and forgets what the
    /// list is newer than.
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

    /// Takes in that a target was listed at a version; returns false where it was gone later.
    pub fn take_entry(&mut self, version: Version, target: &str) -> bool {
        let is_newer = version > self.gone_at(target);
        if is_newer {
            self.gone_at.remove(target);
        }
        is_newer
    }
}
