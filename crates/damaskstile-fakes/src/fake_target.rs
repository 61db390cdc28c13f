//! `fake_target` holds the state of one fake target.

use damaskstile::core::prelude::*;

/// `FakeTarget` is one target.
#[derive(Debug, Clone)]
pub struct FakeTarget {
    /// What the platform's list says of it.
    pub info: TargetInfo,
    /// Time between two chunks.
    pub pace: Duration,
    /// Requests that it runs at a time.
    pub slots_requests: u64,
    /// When it began to leave.
    pub leaving_since: Option<Duration>,
    /// Whether it refuses every run.
    pub is_refusing: bool,
    /// Whether it cannot be reached at all.
    pub is_down: bool,
    /// Runs from now on that are cut after their first chunk.
    pub cut_runs: u64,
    /// Past loads, for reports that lag.
    pub(crate) loads: Vec<(Duration, u64)>,
}
