//! `retries` bounds the retries of the fleet by a share of its requests.

use damaskstile_core::prelude::*;

/// Retries that can be saved up at most.
const SAVED_MAX: u64 = 20;
/// Parts of a retry that a request's share is counted in.
const PARTS: u64 = 100;
/// Parts saved in each second without requests, so that single failures are retried.
const PARTS_PER_S: u64 = 50;

/// `RetryBudget` allows retries as a share of requests.
///
/// Each instance spends its own, so the fleet's retries are bounded by the same share: when many
/// targets fail, retries cannot multiply the load on those that are left.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u64,
    saved_max: u64,
    parts_per_s: u64,
    parts: u64,
    at: Duration,
}

impl RetryBudget {
    /// Makes a budget of so many retries for each hundred requests.
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

    /// Makes a budget of an instance's part of what the fleet may retry beyond its share: so many
    /// in a span of time, divided by the instances.
    #[must_use]
    pub fn of_fleet(
        percent: u64,
        extra: u64,
        span: Duration,
        instances: u64,
        now: Duration,
    ) -> Self {
        // What is saved up and what comes in during the span may both be used within it.
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

    /// Sets the share in force from now on.
    pub fn set_percent(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// Notes a request.
    pub fn add_request(&mut self) {
        self.parts = (self.parts + self.percent).min(self.parts_max());
    }

    /// Takes one retry, if there is one.
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

    /// Tells whether there is a retry to take.
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

    /// Returns the most that can be saved up; at least one retry, or a share could never add up.
    fn parts_max(&self) -> u64 {
        self.saved_max.max(1) * PARTS
    }
}
