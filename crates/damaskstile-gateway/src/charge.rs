//! Tokens charged to a call, shared by its reservation and its log record.

use std::sync::atomic::{AtomicU64, Ordering};

/// Tokens charged to a call so far.
///
/// Updated by the reservation and read by the call's log record when the call ends, in whatever
/// order the two are dropped.
#[derive(Debug, Default)]
pub struct Charge {
    used_tokens: AtomicU64,
    events: AtomicU64,
}

impl Charge {
    pub(crate) fn set(&self, used_tokens: u64, events: u64) {
        self.used_tokens.store(used_tokens, Ordering::Relaxed);
        self.events.store(events, Ordering::Relaxed);
    }

    /// Returns the tokens charged to the call.
    ///
    /// ```
    /// assert_eq!(damaskstile_gateway::charge::Charge::default().used_tokens(), 0);
    /// ```
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens.load(Ordering::Relaxed)
    }

    /// Returns the events received from targets, over all runs of the call.
    ///
    /// ```
    /// assert_eq!(damaskstile_gateway::charge::Charge::default().events(), 0);
    /// ```
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events.load(Ordering::Relaxed)
    }
}
