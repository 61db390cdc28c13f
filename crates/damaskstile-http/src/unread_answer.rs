//! Count of the bytes received for an answer without anything that can be passed on.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Most bytes that are received for an answer until its head, or the next part of its body, can be
/// passed on. It exceeds what the HTTP library buffers, so an answer that reaches it consists of
/// what the protocol allows to repeat without end: informational answers, or zeros of a chunk's
/// size.
const BYTES_MAX: usize = 256 * 1024;

/// Count of the bytes that were received on a connection since the last head or part of a body was
/// taken from it.
#[derive(Debug, Default)]
pub struct UnreadAnswer {
    bytes: AtomicUsize,
}

impl UnreadAnswer {
    /// Adds received bytes; returns false if they can no longer become an answer.
    ///
    /// ```
    /// use damaskstile_http::UnreadAnswer;
    /// let unread = UnreadAnswer::default();
    /// assert!(unread.add(1_000));
    /// assert!(!unread.add(1_000_000));
    /// ```
    pub fn add(&self, bytes: usize) -> bool {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        before.saturating_add(bytes) <= BYTES_MAX
    }

    /// Records that a head or a part of a body was taken.
    pub fn clear(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }
}
