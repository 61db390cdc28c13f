//! `candidate` holds what the choice of a target goes by.

use damaskstile_core::prelude::*;

/// Slowness past which a target is not told apart any more, as a power of two.
const SLOWNESS_MAX: u32 = 6;
/// Time without work in which a target's slowness is forgotten by half, so that it is tried again.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// `Candidate` is a target that may get work, with what the choice goes by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Requests of this instance that run there.
    pub own_requests: u64,
    /// Requests of all instances likely to run or wait there.
    pub load_requests: u64,
    /// Requests that it runs at a time.
    pub slots_requests: u64,
    /// Average time of an answer; `None` before the first.
    pub answer_time: Option<Duration>,
    /// Time since it last got work from this instance.
    pub idle_for: Duration,
}

impl Candidate {
    /// Returns how much slower it is than is typical, as a power of two.
    ///
    /// Small differences are noise. Told apart, they would draw all work to one target.
    pub(crate) fn slowness(&self, typical: Duration) -> u64 {
        let time = self.answer_time.unwrap_or(typical);
        let times = time.as_millis() / typical.as_millis().max(1);
        let power = times.max(1).ilog2().min(SLOWNESS_MAX);
        let forgotten = self.idle_for.as_secs() / FORGET_AFTER.as_secs();
        let forgotten = u32::try_from(forgotten).unwrap_or(u32::MAX);
        1 << power.saturating_sub(forgotten)
    }
}
