//! `fake_run` holds what truly ran.

use damaskstile::core::prelude::*;

/// `FakeRun` is what truly ran.
#[derive(Debug, Clone)]
pub struct FakeRun {
    /// Target that ran it.
    pub target: TargetId,
    /// Client account that pays.
    pub account: AccountId,
    /// Key of the request.
    pub key: RequestKey,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that were generated so far.
    pub output_tokens: u64,
    /// Tokens of each chunk.
    pub chunks: Vec<u64>,
    /// Chunks that were generated so far.
    pub made_chunks: usize,
    /// When it began.
    pub started_at: Duration,
    /// Instance that listens to it.
    pub listener: Option<InstanceId>,
    /// Whether it has a slot; until then it waits.
    pub has_slot: bool,
    /// Whether it is over.
    pub has_ended: bool,
}
