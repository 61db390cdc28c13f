//! `meter` estimates how long bytes wait on a link.

use damaskstile_core::prelude::*;

/// `Meter` estimates how long bytes wait on one direction of a link, from what was put on it.
#[derive(Debug, Clone)]
pub struct Meter {
    bytes_per_s: u64,
    queued_bytes: u64,
    at: Duration,
}

impl Meter {
    /// Makes the meter of a link that carries so many bytes a second.
    #[must_use]
    pub fn new(bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: bytes_per_s.max(1),
            queued_bytes: 0,
            at: Duration::ZERO,
        }
    }

    /// Notes bytes that were put on the link.
    pub fn add(&mut self, now: Duration, bytes: usize) {
        self.drain(now);
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.queued_bytes = self.queued_bytes.saturating_add(bytes);
    }

    /// Returns how long the last byte waits.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::meter::Meter;
    /// let mut meter = Meter::new(1_000);
    /// meter.add(Duration::ZERO, 500);
    /// assert_eq!(meter.delay(Duration::from_millis(100)).as_millis(), 400);
    /// ```
    #[must_use]
    pub fn delay(&self, now: Duration) -> Duration {
        let mut current = self.clone();
        current.drain(now);
        let delay_us = u128::from(current.queued_bytes) * 1_000_000 / u128::from(self.bytes_per_s);
        Duration::from_micros(u64::try_from(delay_us).unwrap_or(u64::MAX))
    }

    fn drain(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let sent = u128::from(self.bytes_per_s) * passed.as_micros() / 1_000_000;
        let sent = u64::try_from(sent).unwrap_or(u64::MAX);
        self.queued_bytes = self.queued_bytes.saturating_sub(sent);
    }
}
