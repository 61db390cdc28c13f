//! Rates of streams, and the capacity that they use.

mod stream_rate;

use super::queue_state::QueueState;

pub use stream_rate::StreamRate;

/// Fractions of the capacity available to calls that open streams use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityUse {
    /// Fraction of the link, the same each way: events are received from targets and sent on.
    pub link: f64,
    /// Fraction of the processor.
    pub processor: f64,
}

impl CapacityUse {
    /// Returns what streams with this total rate use, given the processor time of an event.
    #[must_use]
    pub fn of(rate: StreamRate, event_s: f64, queues: &QueueState) -> Self {
        Self {
            link: rate.bytes_per_s / queues.link_bytes_per_s,
            processor: rate.events_per_s * event_s / queues.processor_share,
        }
    }

    /// Returns both as one line, in percent: `link:12,processor:30`.
    #[must_use]
    pub fn percents(&self) -> String {
        let (link, processor) = (self.link * 100.0, self.processor * 100.0);
        format!("link:{link:.0},processor:{processor:.0}")
    }

    /// Returns the higher of the two fractions.
    ///
    /// ```
    /// use damaskstile_gateway::admission::CapacityUse;
    /// assert_eq!(CapacityUse { link: 0.2, processor: 0.5 }.highest(), 0.5);
    /// ```
    #[must_use]
    pub fn highest(&self) -> f64 {
        self.link.max(self.processor)
    }
}
