//! Model of a queue that is served at a constant rate.

use damaskstile_core::prelude::*;

/// Time constant of the moving average of the share in use.
const SHARE_SPAN: Duration = Duration::from_secs(2);

/// A queue that is served at a constant rate: bytes for a link, seconds of work for a processor.
#[derive(Debug, Clone)]
pub struct Backlog {
    per_s: f64,
    waiting: f64,
    /// Amount added recently, with exponential decay.
    recent: f64,
    at: Duration,
}

impl Backlog {
    /// Creates an empty queue with its rate of service, in units a second.
    #[must_use]
    pub fn new(per_s: f64) -> Self {
        Self {
            per_s: per_s.max(f64::MIN_POSITIVE),
            waiting: 0.0,
            recent: 0.0,
            at: Duration::ZERO,
        }
    }

    /// Adds an amount to the queue.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::backlog::Backlog;
    /// let mut backlog = Backlog::new(1_000.0);
    /// backlog.add(Duration::ZERO, 500.0);
    /// assert_eq!(backlog.delay(Duration::ZERO), Duration::from_millis(500));
    /// assert_eq!(backlog.delay(Duration::from_millis(200)), Duration::from_millis(300));
    /// ```
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.advance(now);
        self.waiting += amount;
        self.recent += amount;
    }

    /// Changes the rate of service from now on.
    pub fn set_rate(&mut self, now: Duration, per_s: f64) {
        self.advance(now);
        self.per_s = per_s.max(f64::MIN_POSITIVE);
    }

    /// Returns the rate of service, in units a second.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Returns the time needed to work off the queue.
    pub fn delay(&mut self, now: Duration) -> Duration {
        self.advance(now);
        Duration::try_from_secs_f64(self.waiting / self.per_s).unwrap_or(Duration::MAX)
    }

    /// Returns the share of the rate that was in use recently.
    pub fn share(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.recent / (self.per_s * SHARE_SPAN.as_secs_f64())
    }

    fn advance(&mut self, now: Duration) {
        let passed_s = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.waiting = (self.waiting - self.per_s * passed_s).max(0.0);
        self.recent *= (-passed_s / SHARE_SPAN.as_secs_f64()).exp();
    }
}
