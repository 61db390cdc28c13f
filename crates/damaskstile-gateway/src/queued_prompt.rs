//! A bulk prompt that asks for a place among those that are prefilled.

use damaskstile_core::prelude::*;

/// A bulk prompt that asks for a place among those that are prefilled at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedPrompt {
    /// Priority rank of the call; 0 is the most urgent.
    pub rank: u8,
    /// When the first event is due: the end of the call's objective, or of its time limit if that is
    /// earlier.
    pub due_at: Duration,
    /// When the first event would be too late to be of use.
    pub expires_at: Duration,
    /// Time that the prefill of the prompt's own part takes.
    pub prefill: Duration,
    /// Bytes of the call on the link.
    pub bytes: usize,
}

impl QueuedPrompt {
    /// Returns when the prompt must be sent at the latest for its first event to be of use.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::queued_prompt::QueuedPrompt;
    /// let [due_at, expires_at, prefill] = [1_500, 2_500, 90].map(Duration::from_millis);
    /// let prompt = QueuedPrompt { rank: 2, due_at, expires_at, prefill, bytes: 9_000 };
    /// assert_eq!(prompt.latest_start(), Duration::from_millis(2_410));
    /// ```
    #[must_use]
    pub fn latest_start(&self) -> Duration {
        self.expires_at.saturating_sub(self.prefill)
    }
}
