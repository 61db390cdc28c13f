//! `pressure` tells when an instance carries more than its link or its processor does.

use damaskstile_core::prelude::*;

/// Part of the link that calls may fill, in percent; the rest is for headers, acknowledgements
/// and what instances tell each other.
const USABLE_PERCENT: u64 = 80;
/// Delay on the link, or of what the processor has to do, from which on an instance is overloaded. A quarter of a second is half of
/// the shortest objective for a first token in view.
const DELAY_LIMIT: Duration = Duration::from_millis(250);
/// Looks in a row that are so late until the processor counts as overloaded.
const LATE_LOOKS: u32 = 3;
/// Time without overload after which an instance takes new connections again. Callers that moved
/// stay with their new instance; much shorter, and they would come back before the queue is gone.
const CALM: Duration = Duration::from_secs(4);
/// Time that a balancer needs to notice: it asks once a second and goes by two answers. Callers
/// that are sent away sooner come back to the same instance.
const NOTICE: Duration = Duration::from_millis(2_200);

/// `Pressure` tells when an instance carries more than its link or its processor does.
///
/// A balancer that chooses by a hash of the caller may give one instance many times the share of
/// another. Its queue then delays all of its calls until they time out, while its neighbours are
/// idle. An overloaded instance asks for no new connections and, once the balancer knows, has its
/// callers reconnect.
#[derive(Debug, Clone)]
pub struct Pressure {
    bytes_per_s: u64,
    queued_bytes: u64,
    at: Duration,
    since: Option<Duration>,
    last: Duration,
    late_looks: u32,
}

impl Pressure {
    /// Makes the pressure on a link that carries so many bytes a second each way.
    #[must_use]
    pub fn new(link_bytes_per_s: u64) -> Self {
        Self {
            bytes_per_s: (link_bytes_per_s / 100)
                .saturating_mul(USABLE_PERCENT)
                .max(1),
            queued_bytes: 0,
            at: Duration::ZERO,
            since: None,
            last: Duration::ZERO,
            late_looks: 0,
        }
    }

    /// Notes bytes that pass through the instance.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::pressure::Pressure;
    /// let mut pressure = Pressure::new(1_000_000);
    /// pressure.add(Duration::ZERO, 900_000);
    /// assert!(pressure.is_high(Duration::ZERO));
    /// ```
    pub fn add(&mut self, now: Duration, bytes: usize) {
        self.drain(now);
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.queued_bytes = self.queued_bytes.saturating_add(bytes);
        let limit_ms = u64::try_from(DELAY_LIMIT.as_millis()).unwrap_or(u64::MAX);
        if self.queued_bytes.saturating_mul(1000) > self.bytes_per_s.saturating_mul(limit_ms) {
            self.note_overload(now);
        }
    }

    /// Notes how late the instance came to something that it does now and then. Once may be a pause of
    /// its machine; several times in a row it has less processor time than its calls take.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::pressure::Pressure;
    /// let mut pressure = Pressure::new(1_000_000);
    /// let looks = [1, 2, 3].map(Duration::from_secs);
    /// let high = looks.map(|now| {
    ///     pressure.note_lateness(now, Duration::from_millis(400));
    ///     pressure.is_high(now)
    /// });
    /// assert_eq!(high, [false, false, true]);
    /// ```
    pub fn note_lateness(&mut self, now: Duration, lateness: Duration) {
        if lateness < DELAY_LIMIT {
            self.late_looks = 0;
            return;
        }
        self.late_looks += 1;
        if self.late_looks >= LATE_LOOKS {
            self.note_overload(now);
        }
    }

    fn note_overload(&mut self, now: Duration) {
        if !self.is_high(now) {
            self.since = Some(now);
        }
        self.last = now;
    }

    /// Tells whether the instance was overloaded lately and should get no new connections.
    #[must_use]
    pub fn is_high(&self, now: Duration) -> bool {
        self.since.is_some() && now.saturating_sub(self.last) < CALM
    }

    /// Tells whether callers that reconnect now are sent to other instances.
    #[must_use]
    pub fn should_move_callers(&self, now: Duration) -> bool {
        let is_noticed = |since| now.saturating_sub(since) >= NOTICE;
        self.is_high(now) && self.since.is_some_and(is_noticed)
    }

    /// Returns how long what was noted takes to pass the link.
    #[must_use]
    pub fn delay(&mut self, now: Duration) -> Duration {
        self.drain(now);
        let delay_us = u128::from(self.queued_bytes) * 1_000_000 / u128::from(self.bytes_per_s);
        Duration::from_micros(u64::try_from(delay_us).unwrap_or(u64::MAX))
    }

    fn drain(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let passed_us = u64::try_from(passed.as_micros()).unwrap_or(u64::MAX);
        let sent = u128::from(self.bytes_per_s) * u128::from(passed_us) / 1_000_000;
        let sent = u64::try_from(sent).unwrap_or(u64::MAX);
        self.queued_bytes = self.queued_bytes.saturating_sub(sent);
    }
}
