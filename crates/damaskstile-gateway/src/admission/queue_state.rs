//! State of the queues of an instance.

use damaskstile_core::prelude::*;

/// State of the queues of an instance at one moment.
#[derive(Debug, Clone, Copy)]
pub struct QueueState {
    /// Delay of the outgoing link.
    pub sent: Duration,
    /// Delay of the processor; zero while it is not busy.
    pub work: Duration,
    /// Scheduling delay of the event loop; zero unless it has lagged repeatedly.
    pub lag: Duration,
    /// Whether the instance was overloaded recently.
    pub is_overloaded: bool,
    /// Capacity of the link for calls, each way.
    pub link_bytes_per_s: f64,
    /// Share of the processor's time that is available to calls.
    pub processor_share: f64,
    /// Processor time of an average call, in seconds.
    pub call_s: f64,
}

impl Default for QueueState {
    fn default() -> Self {
        Self {
            sent: Duration::ZERO,
            work: Duration::ZERO,
            lag: Duration::ZERO,
            is_overloaded: false,
            link_bytes_per_s: 1.0,
            processor_share: 1.0,
            call_s: 0.0,
        }
    }
}

impl QueueState {
    /// Returns how long a call waits until it is sent. The incoming link is left out: the call has
    /// passed it, so a rejection would not shorten its queue, and a retry would lengthen it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::admission::QueueState;
    /// let queues = QueueState { work: Duration::from_millis(3), ..QueueState::default() };
    /// assert_eq!(queues.wait(), Duration::from_millis(3));
    /// ```
    #[must_use]
    pub fn wait(&self) -> Duration {
        self.sent.max(self.work).max(self.lag)
    }

    /// Returns the time to send bytes over the outgoing link.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // sizes of messages
    pub fn time_to_send(&self, bytes: usize) -> Duration {
        let time_s = bytes as f64 / self.link_bytes_per_s;
        Duration::try_from_secs_f64(time_s).unwrap_or(Duration::MAX)
    }
}
