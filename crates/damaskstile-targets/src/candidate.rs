//! Target that may be selected by the registry.

use damaskstile_core::prelude::*;

/// Greatest slowness that is distinguished, as a power of two.
const SLOWNESS_MAX: u32 = 6;
/// Time without requests in which a target's slowness is halved, so that it is tried again.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Target that may receive work, with what selectors use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// Requests of this instance that run there.
    pub own_requests: u64,
    /// Requests of all instances that are likely to run or wait there.
    pub load_requests: u64,
    /// Requests that the target runs at a time.
    pub slots_requests: u64,
    /// Average answer time; `None` before the first answer.
    pub answer_time: Option<Duration>,
    /// Time since this instance last sent it a request.
    pub idle_for: Duration,
}

impl Candidate {
    /// Returns how many times slower than typical the target is, as a power of two.
    ///
    /// Small differences are noise. If they counted, they would draw all work to one target.
    pub(crate) fn slowness(&self, typical: Duration) -> u64 {
        let time = self.answer_time.unwrap_or(typical);
        let times = time.as_millis() / typical.as_millis().max(1);
        let power = times.max(1).ilog2().min(SLOWNESS_MAX);
        let forgotten = self.idle_for.as_secs() / FORGET_AFTER.as_secs();
        let forgotten = u32::try_from(forgotten).unwrap_or(u32::MAX);
        1 << power.saturating_sub(forgotten)
    }
}
