//! Load that open streams will produce until their last events.

use damaskstile_core::prelude::*;

use super::capacity_use::StreamRate;
use super::learned_stream::LearnedStream;
use super::route_streams::RouteStreams;
use super::stream_totals::StreamTotals;

/// Open streams by route, and what streams of each route take until their last events.
///
/// The queues only show what has arrived. Streams that have been admitted but whose events are yet
/// to come are counted here.
#[derive(Debug, Clone, Default)]
pub struct CommittedLoad {
    routes: BTreeMap<String, RouteStreams>,
}

impl CommittedLoad {
    /// Counts a stream as open.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::admission::{CommittedLoad, StreamTotals};
    /// let mut load = CommittedLoad::default();
    /// let totals = StreamTotals { bytes: 800, events: 4, took: Duration::from_secs(2) };
    /// for _ in 0..5 {
    ///     load.begin("chat", None);
    ///     load.end("chat", &totals);
    /// }
    /// (0..3).for_each(|_| load.begin("chat", None));
    /// assert_eq!(load.rate().bytes_per_s, 1_200.0);
    /// ```
    pub fn begin(&mut self, route: &str, pause_limit: Option<Duration>) {
        let streams = self.streams_of(route);
        streams.open = streams.open.saturating_add(1);
        streams.pause_limit = pause_limit;
    }

    /// Counts a stream as ended. A stream without events shows nothing of what others take.
    pub fn end(&mut self, route: &str, totals: &StreamTotals) {
        let streams = self.streams_of(route);
        streams.open = streams.open.saturating_sub(1);
        if totals.events > 0 {
            streams.learned.note(totals);
        }
    }

    /// Returns the total rate that the open streams need.
    #[must_use]
    pub fn rate(&self) -> StreamRate {
        let mut rate = StreamRate::default();
        for streams in self.routes.values() {
            rate.add(&streams.learned.rate().times(streams.open));
        }
        rate
    }

    /// Returns the rate that one more stream of a route needs.
    #[must_use]
    pub fn rate_of(&self, route: &str) -> StreamRate {
        let streams = self.routes.get(route);
        streams.map_or_else(StreamRate::default, |streams| streams.learned.rate())
    }

    /// Returns the means of what streams of a route took; zeros for routes without streams.
    #[must_use]
    pub fn totals_of(&self, route: &str) -> LearnedStream {
        let streams = self.routes.get(route);
        streams.map_or_else(LearnedStream::default, |streams| streams.learned)
    }

    /// Returns the shortest pause limit of the routes with open streams.
    #[must_use]
    pub fn shortest_pause_limit(&self) -> Option<Duration> {
        let open = self.routes.values().filter(|streams| streams.open > 0);
        open.filter_map(|streams| streams.pause_limit).min()
    }

    /// Drops routes that no longer exist and have no open streams.
    pub fn retain(&mut self, is_there: impl Fn(&str) -> bool) {
        self.routes
            .retain(|route, streams| streams.open > 0 || is_there(route));
    }

    fn streams_of(&mut self, route: &str) -> &mut RouteStreams {
        if !self.routes.contains_key(route) {
            self.routes
                .insert(route.to_owned(), RouteStreams::default());
        }
        self.routes.entry(route.to_owned()).or_default()
    }
}
