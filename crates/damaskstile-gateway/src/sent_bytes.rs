//! Bytes sent to peers, by purpose.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Counts the bytes that an instance sends to its peers, by purpose.
#[derive(Debug, Default)]
pub struct SentBytes {
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl SentBytes {
    /// Adds bytes that were sent.
    ///
    /// ```
    /// use damaskstile_gateway::sent_bytes::SentBytes;
    /// let sent = SentBytes::default();
    /// sent.add("digest", 300);
    /// sent.add("digest", 200);
    /// assert_eq!(sent.summary(), "digest:500");
    /// ```
    pub fn add(&self, duty: &'static str, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        *self.lock().entry(duty).or_default() += bytes;
    }

    /// Returns the total bytes by purpose.
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.lock().clone()
    }

    /// Returns the total bytes as one line: `digest:500,list:120`.
    #[must_use]
    pub fn summary(&self) -> String {
        let mut text = String::new();
        for (duty, bytes) in self.counts() {
            let separator = if text.is_empty() { "" } else { "," };
            // Writing to a string cannot fail.
            let _ = write!(text, "{separator}{duty}:{bytes}");
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, u64>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
