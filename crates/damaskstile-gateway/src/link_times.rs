//! Durations of network operations, to diagnose a saturated link.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct Times {
    longest: BTreeMap<&'static str, Duration>,
    /// Blocked writes, the oldest first.
    waiting: BTreeSet<(Instant, u64, &'static str)>,
}

/// Records the durations of connects, body reads and blocked writes. If they are long for one
/// target, that target is slow; if they are long for all, the link is saturated.
#[derive(Debug, Default)]
pub struct LinkTimes {
    times: Mutex<Times>,
    next: AtomicU64,
}

impl LinkTimes {
    /// Records the duration of an operation.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::link_times::LinkTimes;
    /// let times = LinkTimes::default();
    /// times.note("connect", Duration::from_millis(300));
    /// times.note("connect", Duration::from_millis(2));
    /// assert_eq!(times.take()["connect"], Duration::from_millis(300));
    /// ```
    pub fn note(&self, what: &'static str, took: Duration) {
        let longest = &mut self.lock().longest;
        let longest = longest.entry(what).or_default();
        *longest = took.max(*longest);
    }

    /// Returns the longest durations by operation since the previous call, including how long the
    /// oldest blocked write has waited.
    pub fn take(&self) -> BTreeMap<&'static str, Duration> {
        let mut times = self.lock();
        let mut longest = std::mem::take(&mut times.longest);
        for (since, _, what) in &times.waiting {
            let waits = since.elapsed();
            let longest = longest.entry(what).or_default();
            *longest = waits.max(*longest);
        }
        longest
    }

    /// Records that a write is blocked from now on; returns the key for `end_wait`.
    pub(crate) fn wait(&self, what: &'static str) -> (Instant, u64, &'static str) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let waiting = (Instant::now(), number, what);
        self.lock().waiting.insert(waiting);
        waiting
    }

    /// Records that a write is no longer blocked.
    pub(crate) fn end_wait(&self, waiting: (Instant, u64, &'static str)) {
        self.lock().waiting.remove(&waiting);
        self.note(waiting.2, waiting.0.elapsed());
    }

    fn lock(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
