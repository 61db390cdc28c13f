//! `call_times` remembers how long the calls of each route lasted.

mod of_route;

use damaskstile_core::prelude::*;

pub use of_route::RouteTimes;

/// `CallTimes` remembers how long the calls of each route lasted, whole answers with them.
///
/// A stop takes a call only if it can be expected to be over in time. Routes differ by a factor
/// of a hundred in that, and only what was seen here tells them apart.
#[derive(Debug, Clone, Default)]
pub struct CallTimes {
    routes: BTreeMap<String, RouteTimes>,
}

impl CallTimes {
    /// Notes a call that its target ended, or that reached its time limit.
    pub fn note(&mut self, route: &str, took: Duration) {
        // Most calls find their route, and those need no name of their own.
        if let Some(times) = self.routes.get_mut(route) {
            times.note(took);
        } else {
            let times = self.routes.entry(route.to_owned()).or_default();
            times.note(took);
        }
    }

    /// Tells whether a call of a route can be expected to be over within some time. Of a route
    /// that was not seen nothing can be expected.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::call_times::CallTimes;
    /// let mut times = CallTimes::default();
    /// times.note("short", Duration::from_millis(20));
    /// assert!(times.is_over_within("short", Duration::from_secs(4)));
    /// assert!(!times.is_over_within("unseen", Duration::from_secs(4)));
    /// ```
    #[must_use]
    pub fn is_over_within(&self, route: &str, time: Duration) -> bool {
        let times = self.routes.get(route);
        times.is_some_and(|times| times.is_over_within(time))
    }

    /// Forgets the routes that are gone, so that the record does not grow for ever.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_there(route));
    }
}
