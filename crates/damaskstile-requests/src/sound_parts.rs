//! Remembers which parts of prompts targets have answered on lately.

use damaskstile_core::prelude::*;

/// Most parts that are remembered. Those that were answered on longest ago are forgotten first.
const PARTS_MAX: usize = 8_192;
/// Time for which a part is remembered.
const RETENTION: Duration = Duration::from_mins(10);
/// Shortest time between two records of the same part.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Parts of prompts on which targets began to write an answer, with the latest time.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoundParts {
    answered_at: BTreeMap<u64, Duration>,
    by_time: BTreeSet<(Duration, u64)>,
}

impl SoundParts {
    /// Records that a target began to write an answer on a part.
    pub(crate) fn note(&mut self, now: Duration, part: u64) {
        let before = self.answered_at.get(&part).copied();
        if before.is_some_and(|at| now.saturating_sub(at) < RECORD_INTERVAL) {
            return;
        }
        if let Some(at) = self.answered_at.insert(part, now) {
            self.by_time.remove(&(at, part));
        }
        self.by_time.insert((now, part));
        while let Some((at, first)) = self.by_time.first().copied()
            && (self.by_time.len() > PARTS_MAX || now.saturating_sub(at) >= RETENTION)
        {
            self.by_time.pop_first();
            self.answered_at.remove(&first);
        }
    }

    /// Returns when a target last began to write an answer on a part.
    pub(crate) fn answered_at(&self, part: u64) -> Option<Duration> {
        self.answered_at.get(&part).copied()
    }
}
