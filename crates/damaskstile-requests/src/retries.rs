//! Retry budget, which bounds retries to a share of the requests.

use damaskstile_core::prelude::*;

/// Maximum number of retries that can accumulate.
const SAVED_MAX: u64 = 20;
/// Units per retry. Each request adds as many units as the budget's percentage.
const PARTS: u64 = 100;
/// Units added per second regardless of requests, so that single failures are retried.
const PARTS_PER_S: u64 = 50;

/// `RetryBudget` allows retries as a percentage of requests.
///
/// Each instance has its own budget, so the retries of the whole fleet are bounded by the same
/// percentage. When many targets fail, retries cannot multiply the load on the remaining ones.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    saved_max: u64,
    parts_per_s: u64,
    parts: u64,
    at: Duration,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each hundred requests.
    #[must_use]
    pub fn new(percent: u64, now: Duration) -> Self {
        Self {
            percent,
            saved_max: SAVED_MAX,
            parts_per_s: PARTS_PER_S,
            parts: SAVED_MAX * PARTS / 2,
            at: now,
        }
    }

    /// Creates an instance's budget, given that all instances together may make `extra` retries in
    /// each `span` beyond `percent` of their requests.
    #[must_use]
    pub fn of_fleet(
        percent: u64,
        extra: u64,
        span: Duration,
        instances: u64,
        now: Duration,
    ) -> Self {
        // Both the accumulated retries and those added during the span can be used within it, so each
        // gets half.
        let saved_max = extra / 2 / instances.max(1);
        let span_s = span.as_secs().max(1);
        Self {
            percent,
            saved_max,
            parts_per_s: extra * PARTS / 2 / instances.max(1) / span_s,
            parts: saved_max * PARTS,
            at: now,
        }
    }

    /// Sets the percentage that applies from now on.
    pub fn set_percent(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// Records a request, which adds its share of a retry.
    pub fn add_request(&mut self) {
        self.parts = (self.parts + self.percent).min(self.parts_max());
    }

    /// Takes one retry from the budget. Returns whether one was available.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_requests::retries::RetryBudget;
    /// let mut budget = RetryBudget::new(10, Duration::ZERO);
    /// let allowed = (0..100).filter(|_| budget.try_retry(Duration::ZERO)).count();
    /// assert_eq!(allowed, 10);
    /// ```
    pub fn try_retry(&mut self, now: Duration) -> bool {
        if !self.can_retry(now) {
            return false;
        }
        self.parts -= PARTS;
        true
    }

    /// Returns whether a retry is available.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_requests::retries::RetryBudget;
    /// let mut budget = RetryBudget::new(10, Duration::ZERO);
    /// assert!(budget.can_retry(Duration::ZERO));
    /// while budget.try_retry(Duration::ZERO) {}
    /// assert!(!budget.can_retry(Duration::ZERO));
    /// ```
    pub fn can_retry(&mut self, now: Duration) -> bool {
        if self.percent == 0 {
            return false;
        }
        let whole_seconds = now.saturating_sub(self.at).as_secs();
        if whole_seconds > 0 {
            self.at += Duration::from_secs(whole_seconds);
            let saved = whole_seconds.saturating_mul(self.parts_per_s);
            self.parts = self.parts.saturating_add(saved).min(self.parts_max());
        }
        self.parts >= PARTS
    }

    /// Returns the maximum balance, in units. It is at least one retry, as otherwise the added units
    /// could never amount to one.
    fn parts_max(&self) -> u64 {
        self.saved_max.max(1) * PARTS
    }
}
