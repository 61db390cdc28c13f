//! What the queue of bulk prompts decides about a prompt.

use damaskstile_core::prelude::*;

/// What the queue of bulk prompts decides about a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptDecision {
    /// The prompt may be sent.
    Start,
    /// The prompt is rejected, since it could not be sent in time or the queue is full.
    Reject {
        /// Time that the queue needs.
        retry_after: Duration,
    },
}
