//! State of one fake target.

use damaskstile::core::prelude::*;

/// A fake target and the faults injected into it.
#[derive(Debug, Clone)]
pub struct FakeTarget {
    /// Entry of the target in the platform's list.
    pub info: TargetInfo,
    /// Time between two chunks of an answer.
    pub chunk_interval: Duration,
    /// Requests that it runs concurrently.
    pub slots_requests: u64,
    /// When it started leaving; `None` if it is not leaving.
    pub leaving_since: Option<Duration>,
    /// Whether it refuses every new run.
    pub is_refusing: bool,
    /// Whether it is unreachable.
    pub is_down: bool,
    /// Number of upcoming streams that break after their first chunk.
    pub cut_runs: u64,
    /// Number of unfinished runs over time, oldest first, for delayed load reports.
    pub(crate) load_history: Vec<(Duration, u64)>,
}
