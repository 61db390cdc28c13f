//! Durations of recent calls by route, used to decide which calls can still finish during a
//! shutdown.

mod route_times;

use damaskstile_core::prelude::*;

pub use route_times::RouteTimes;

/// Durations of recent calls by route, including the time to deliver the whole answer.
///
/// During a shutdown a call is accepted only if it is expected to finish in time. Call durations
/// differ by a factor of a hundred between routes, and only the durations observed on this instance
/// show which routes are slow.
#[derive(Debug, Clone, Default)]
pub struct CallTimes {
    routes: BTreeMap<String, RouteTimes>,
}

impl CallTimes {
    /// Records the duration of a call that its target completed, or that reached its time limit.
    pub fn note(&mut self, route: &str, took: Duration) {
        // The route is almost always present, so its name is cloned only when it is first seen.
        if let Some(times) = self.routes.get_mut(route) {
            times.note(took);
        } else {
            let times = self.routes.entry(route.to_owned()).or_default();
            times.note(took);
        }
    }

    /// Returns whether a call of a route is expected to finish within `time`. Always false for a
    /// route without recorded calls.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::call_times::CallTimes;
    /// let mut times = CallTimes::default();
    /// times.note("short", Duration::from_millis(20));
    /// assert!(times.finishes_within("short", Duration::from_secs(4)));
    /// assert!(!times.finishes_within("unseen", Duration::from_secs(4)));
    /// ```
    #[must_use]
    pub fn finishes_within(&self, route: &str, time: Duration) -> bool {
        let times = self.routes.get(route);
        times.is_some_and(|times| times.finishes_within(time))
    }

    /// Drops routes that no longer exist, so that the map does not grow without bound.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_there(route));
    }
}
