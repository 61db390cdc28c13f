//! Retry budget, which bounds retries to a share of the requests.

use damaskstile_core::prelude::*;

/// Maximum number of retries that can accumulate.
const ACCUMULATED_MAX: u64 = 20;
/// Units per retry. Each request adds as many units as the budget's percentage.
const UNITS_PER_RETRY: u64 = 100;
/// Units added per second regardless of requests, so that single failures are retried.
const UNITS_PER_S: u64 = 50;

/// `RetryBudget` allows retries as a percentage of requests.
///
/// Each instance has its own budget, so the retries of the whole fleet are bounded by the same
/// percentage. When many targets fail, retries cannot multiply the load on the remaining ones.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    accumulated_max: u64,
    units_per_s: u64,
    units: u64,
    refilled_at: Duration,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries for each hundred requests.
    #[must_use]
    pub fn new(percent: u64, now: Duration) -> Self {
        Self {
            percent,
            accumulated_max: ACCUMULATED_MAX,
            units_per_s: UNITS_PER_S,
            units: ACCUMULATED_MAX * UNITS_PER_RETRY / 2,
            refilled_at: now,
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
        // Both the accumulated retries and those added during the span can be used within it, so
        // each gets half.
        let accumulated_max = extra / 2 / instances.max(1);
        let span_s = span.as_secs().max(1);
        Self {
            percent,
            accumulated_max,
            units_per_s: extra * UNITS_PER_RETRY / 2 / instances.max(1) / span_s,
            units: accumulated_max * UNITS_PER_RETRY,
            refilled_at: now,
        }
    }

    /// Sets the percentage that applies from now on.
    pub fn set_percent(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// Records a request, which adds its share of a retry.
    pub fn add_request(&mut self) {
        self.units = (self.units + self.percent).min(self.units_max());
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
        self.units -= UNITS_PER_RETRY;
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
        let whole_seconds = now.saturating_sub(self.refilled_at).as_secs();
        if whole_seconds > 0 {
            self.refilled_at += Duration::from_secs(whole_seconds);
            let added = whole_seconds.saturating_mul(self.units_per_s);
            self.units = self.units.saturating_add(added).min(self.units_max());
        }
        self.units >= UNITS_PER_RETRY
    }

    /// Returns the maximum balance, in units. It is at least one retry, as otherwise the added
    /// units could never amount to one.
    fn units_max(&self) -> u64 {
        self.accumulated_max.max(1) * UNITS_PER_RETRY
    }
}
