//! Processor time by background task.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Counts the processor time that each background task of an instance uses. All tasks share one
/// thread, so the time that one uses delays all others.
#[derive(Debug, Default)]
pub struct BusyTimes {
    counts: Mutex<BTreeMap<&'static str, Duration>>,
}

impl BusyTimes {
    /// Runs a task and counts the time spent in its polls, without the time that it waits.
    pub async fn count<F: Future>(&self, duty: &'static str, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|context| {
            let began_at = Instant::now();
            let poll = future.as_mut().poll(context);
            self.add(duty, began_at.elapsed());
            poll
        })
        .await
    }

    /// Adds time spent on a task.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::busy_times::BusyTimes;
    /// let times = BusyTimes::default();
    /// times.add("callers", Duration::from_millis(30));
    /// times.add("callers", Duration::from_millis(10));
    /// assert_eq!(times.counts()["callers"], Duration::from_millis(40));
    /// ```
    pub fn add(&self, duty: &'static str, took: Duration) {
        *self.lock().entry(duty).or_default() += took;
    }

    /// Returns the total times by task.
    pub fn counts(&self) -> BTreeMap<&'static str, Duration> {
        self.lock().clone()
    }

    /// Returns the milliseconds by task since `before`, as one line: `callers:40,peers:3`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::busy_times::BusyTimes;
    /// let times = BusyTimes::default();
    /// times.add("callers", Duration::from_millis(30));
    /// let before = times.counts();
    /// times.add("peers", Duration::from_millis(3));
    /// assert_eq!(times.summary_since(&before), "peers:3");
    /// ```
    #[must_use]
    pub fn summary_since(&self, before: &BTreeMap<&'static str, Duration>) -> String {
        let mut text = String::new();
        for (duty, time) in self.counts() {
            let since = time.saturating_sub(before.get(duty).copied().unwrap_or_default());
            if since.as_millis() > 0 {
                let separator = if text.is_empty() { "" } else { "," };
                // Writing to a string cannot fail.
                let _ = write!(text, "{separator}{duty}:{}", since.as_millis());
            }
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, Duration>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
