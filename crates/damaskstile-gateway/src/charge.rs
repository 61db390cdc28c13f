//! `charge` is what a call counts for, as its reservation and its line in the logs both see it.

use std::sync::atomic::{AtomicU64, Ordering};

/// `Charge` is what a call counts for so far.
///
/// The reservation keeps it up to date and the record of the call reads it when the call ends, in
/// whatever way and order the two are dropped.
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

    /// Returns the tokens that the call counts for.
    ///
    /// ```
    /// assert_eq!(damaskstile_gateway::charge::Charge::default().used_tokens(), 0);
    /// ```
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens.load(Ordering::Relaxed)
    }

    /// Returns the events of all its runs that came from targets.
    ///
    /// ```
    /// assert_eq!(damaskstile_gateway::charge::Charge::default().events(), 0);
    /// ```
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events.load(Ordering::Relaxed)
    }
}
