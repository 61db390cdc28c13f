//! A run as the fake target executed it.

use damaskstile::core::prelude::*;

/// A run as the fake target executed it, whatever instances know of it.
#[derive(Debug, Clone)]
pub struct FakeRun {
    /// Target that executes the run.
    pub target: TargetId,
    /// Client account that is charged.
    pub account: AccountId,
    /// Key of the request.
    pub key: RequestKey,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens generated so far.
    pub output_tokens: u64,
    /// Number of tokens of each chunk of the full answer.
    pub chunks: Vec<u64>,
    /// Number of chunks generated so far.
    pub generated_chunks: usize,
    /// When the run was accepted.
    pub started_at: Duration,
    /// Instance that receives the stream.
    pub listener: Option<InstanceId>,
    /// Whether the run occupies a slot; otherwise it is queued.
    pub has_slot: bool,
    /// Whether the run has finished or was cancelled.
    pub has_ended: bool,
}
