//! What streams of one route are expected to take.

use super::capacity_use::StreamRate;
use super::stream_totals::StreamTotals;

/// Streams over which the means are taken, so that they follow changes of the route.
const MEAN_STREAMS: f64 = 64.0;
/// Minimum number of ended streams for an estimate.
const STREAMS_MIN: f64 = 5.0;

/// Means of the bytes, events and duration of recent streams of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct LearnedStream {
    streams: f64,
    /// Mean bytes of a stream.
    pub bytes: f64,
    /// Mean number of events of a stream.
    pub events: f64,
    took_s: f64,
}

impl LearnedStream {
    /// Adds a stream that has ended.
    #[allow(clippy::cast_precision_loss)] // sizes of answers
    pub fn note(&mut self, totals: &StreamTotals) {
        self.streams = (self.streams + 1.0).min(MEAN_STREAMS);
        let weight = 1.0 / self.streams;
        self.bytes += (totals.bytes as f64 - self.bytes) * weight;
        self.events += (totals.events as f64 - self.events) * weight;
        self.took_s += (totals.took.as_secs_f64() - self.took_s) * weight;
    }

    /// Returns the mean rate of a stream while it is open; zero while too few streams have ended.
    ///
    /// The number of open streams times this rate is the rate at which they complete, if the
    /// streams of a route keep coming.
    #[must_use]
    pub fn rate(&self) -> StreamRate {
        if self.streams < STREAMS_MIN || self.took_s <= 0.0 {
            return StreamRate::default();
        }
        StreamRate {
            bytes_per_s: self.bytes / self.took_s,
            events_per_s: self.events / self.took_s,
        }
    }
}
