//! Work that counts less as it ages.

use damaskstile_core::prelude::*;

/// Time constant of the exponential decay of work.
pub const DECAY_TIME: Duration = Duration::from_secs(5);

/// Work of one account and rank, as of the time of its last call.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingWork {
    /// Processor and link time, in seconds.
    pub work_s: f64,
    /// Time of the last call.
    pub at: Duration,
}

impl DecayingWork {
    /// Returns the work as of a later time, with more of it.
    #[must_use]
    pub fn with(&self, now: Duration, more_s: f64) -> Self {
        Self {
            work_s: self.work_s(now) + more_s,
            at: now,
        }
    }

    /// Returns what is left of the work at a later time.
    #[must_use]
    pub fn work_s(&self, now: Duration) -> f64 {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        self.work_s * (-passed_s / DECAY_TIME.as_secs_f64()).exp()
    }
}
