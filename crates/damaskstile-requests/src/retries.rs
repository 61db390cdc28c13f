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
    parts: u64,
    at: Duration,
}

impl RetryBudget {
    /// Makes a budget of so many retries for each hundred requests.
    #[must_use]
    pub fn new(percent: u64, now: Duration) -> Self {
        Self {
            percent,
            parts: SAVED_MAX * PARTS / 2,
            at: now,
        }
    }

    /// Sets the share in force from now on.
    pub fn set_percent(&mut self, percent: u64) {
        self.percent = percent;
    }

    /// Notes a request.
    pub fn add_request(&mut self) {
        self.parts = (self.parts + self.percent).min(SAVED_MAX * PARTS);
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
        if self.percent == 0 {
            return false;
        }
        let whole_seconds = now.saturating_sub(self.at).as_secs();
        if whole_seconds > 0 {
            self.at += Duration::from_secs(whole_seconds);
            let saved = whole_seconds.saturating_mul(PARTS_PER_S);
            self.parts = self.parts.saturating_add(saved).min(SAVED_MAX * PARTS);
        }
        if self.parts < PARTS {
            return false;
        }
        self.parts -= PARTS;
        true
    }
}
