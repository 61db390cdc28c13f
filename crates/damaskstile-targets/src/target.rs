//! State of one target in the registry.

use damaskstile_core::prelude::*;

/// Concurrent requests that a target is assumed to run until it reports its slots.
const SLOTS_ASSUMED: u64 = 4;
/// Backoff after the first failure; it doubles with each further failure, up to 32 times.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Divisor of the moving average; the newest answer time has a weight of one part in so many.
const AVERAGE_DIVISOR: u32 = 8;

/// Whether a target is leaving, and when that was true.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Whether the target is leaving.
    pub is_leaving: bool,
    /// Time of the observation.
    pub at: Duration,
}

/// State of one target, as known to an instance.
#[derive(Debug, Clone)]
pub struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) evidence: Option<Evidence>,
    /// Requests of this instance that run there.
    pub(crate) own_requests: u64,
    reported_requests: u64,
    reported_at: Duration,
    own_requests_at_report: u64,
    slots_requests: u64,
    failures: u32,
    backoff_until: Duration,
    answer_time: Option<Duration>,
    pub(crate) probed_at: Option<Duration>,
    /// When this instance last sent it a request.
    pub(crate) used_at: Duration,
}

impl Target {
    pub(crate) fn new(info: TargetInfo) -> Self {
        Self {
            info,
            evidence: None,
            own_requests: 0,
            reported_requests: 0,
            reported_at: Duration::ZERO,
            own_requests_at_report: 0,
            slots_requests: SLOTS_ASSUMED,
            failures: 0,
            backoff_until: Duration::ZERO,
            answer_time: None,
            probed_at: None,
            used_at: Duration::ZERO,
        }
    }

    /// Applies evidence if it is newer. Returns whether the target began or ceased to leave.
    pub(crate) fn learn(&mut self, evidence: Evidence) -> bool {
        let is_newer = self.evidence.is_none_or(|known| evidence.at > known.at);
        if !is_newer {
            return false;
        }
        let was_leaving = self.is_leaving();
        self.evidence = Some(evidence);
        was_leaving != self.is_leaving()
    }

    pub(crate) fn report(&mut self, now: Duration, status: &TargetStatus) {
        self.reported_requests = status.in_flight_requests;
        self.reported_at = now.saturating_sub(Duration::from_millis(status.age_ms));
        self.own_requests_at_report = self.own_requests;
        self.slots_requests = status.slots_requests.max(1);
    }

    /// Tells whether the target is leaving, by the list or by the newest report of itself or of a
    /// peer.
    pub(crate) fn is_leaving(&self) -> bool {
        self.info.is_leaving || self.evidence.is_some_and(|evidence| evidence.is_leaving)
    }

    /// Tells whether the newest evidence is recent enough to send requests to the target.
    pub(crate) fn has_fresh_evidence(&self, now: Duration, age: Duration) -> bool {
        self.evidence
            .is_some_and(|evidence| now.saturating_sub(evidence.at) <= age)
    }

    pub(crate) fn is_in_backoff(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    pub(crate) fn failed(&mut self, now: Duration) {
        let backoff = FAILURE_BACKOFF.saturating_mul(1 << self.failures.min(5));
        self.failures = self.failures.saturating_add(1);
        self.backoff_until = now + backoff;
    }

    pub(crate) fn answered(&mut self, took: Duration) {
        self.failures = 0;
        self.answer_time = Some(self.answer_time.map_or(took, |average| {
            (average * (AVERAGE_DIVISOR - 1) + took) / AVERAGE_DIVISOR
        }));
    }

    /// Returns the requests that are likely to run or wait there now.
    ///
    /// A report covers the requests of all instances and grows old; the own count covers only this
    /// instance's and is exact. So the other instances' share is halved for each half-life of the
    /// report's age.
    pub(crate) fn load_requests(&self, now: Duration, half_life: Duration) -> u64 {
        let others = self
            .reported_requests
            .saturating_sub(self.own_requests_at_report);
        let age = now.saturating_sub(self.reported_at);
        let halvings = age.as_millis() / half_life.as_millis().max(1);
        let others = others >> u32::try_from(halvings).unwrap_or(u32::MAX).min(63);
        self.own_requests + others
    }

    pub(crate) fn slots_requests(&self) -> u64 {
        self.slots_requests
    }

    pub(crate) fn answer_time(&self) -> Option<Duration> {
        self.answer_time
    }
}
