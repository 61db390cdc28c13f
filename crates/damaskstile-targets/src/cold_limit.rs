//! `cold_limit` says how much work a cold target may get from all instances together.

use damaskstile_core::prelude::*;

/// Part of the allowed calls that is used: clocks of instances and the way to a target differ.
const USED_PART: f64 = 0.8;
/// Instances that may send to one cold target.
const SENDERS_MAX: u64 = 18;

/// `ColdLimit` says how much work a cold target may get from all instances together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdLimit {
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
    /// Calls that it may get within any second; `None` for any number.
    pub calls_per_s: Option<f64>,
}

impl ColdLimit {
    /// Returns the instances that may send to one cold target.
    ///
    /// ```
    /// use damaskstile_targets::ColdLimit;
    /// let limit = ColdLimit { calls_per_s: Some(11.0), ..ColdLimit::default() };
    /// assert_eq!(limit.senders(3), 3);
    /// assert_eq!(limit.senders(300), 8);
    /// ```
    #[must_use]
    pub fn senders(&self, instances: u64) -> u64 {
        let all = self.all_senders_calls();
        instances.min(all).clamp(1, SENDERS_MAX)
    }

    /// Returns the calls that each of the senders may send within any second.
    ///
    /// ```
    /// use damaskstile_targets::ColdLimit;
    /// let limit = ColdLimit { calls_per_s: Some(11.0), ..ColdLimit::default() };
    /// assert_eq!(limit.calls_of_sender(3), 2);
    /// assert_eq!(limit.calls_of_sender(300), 1);
    /// ```
    #[must_use]
    pub fn calls_of_sender(&self, instances: u64) -> usize {
        let calls = self.all_senders_calls() / self.senders(instances);
        usize::try_from(calls).unwrap_or(usize::MAX)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // negative becomes 0
    fn all_senders_calls(&self) -> u64 {
        self.calls_per_s
            .map_or(u64::MAX, |calls| (calls * USED_PART) as u64)
    }
}
