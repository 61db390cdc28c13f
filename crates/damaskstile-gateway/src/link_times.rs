//! `link_times` notes how long what passes the link takes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct Times {
    longest: BTreeMap<&'static str, Duration>,
    /// Writes that wait, the oldest first.
    waiting: BTreeSet<(Instant, u64, &'static str)>,
}

/// `LinkTimes` notes how long what passes the link takes: connections, bodies, writes that wait for
/// room. Slow for one target, the target is to blame; slow for all, the link is.
#[derive(Debug, Default)]
pub struct LinkTimes {
    times: Mutex<Times>,
    next: AtomicU64,
}

impl LinkTimes {
    /// Notes how long something took.
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

    /// Returns the longest times since this was last asked, and how long the oldest write waits.
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

    /// Notes that a write waits for room from now on; returns what ends that.
    pub(crate) fn wait(&self, what: &'static str) -> (Instant, u64, &'static str) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let waiting = (Instant::now(), number, what);
        self.lock().waiting.insert(waiting);
        waiting
    }

    /// Notes that a write waits no more.
    pub(crate) fn end_wait(&self, waiting: (Instant, u64, &'static str)) {
        self.lock().waiting.remove(&waiting);
        self.note(waiting.2, waiting.0.elapsed());
    }

    fn lock(&self) -> MutexGuard<'_, Times> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
