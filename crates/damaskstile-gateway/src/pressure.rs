//! `pressure` tells when an instance carries more than its link does.

use damaskstile_core::prelude::*;

use crate::meter::Meter;

/// Part of the link that calls may fill, in percent; the rest is for headers, acknowledgements
/// and what instances tell each other.
const USABLE_PERCENT: u64 = 80;
/// Delay on the link from which on an instance is overloaded. A quarter of a second is half of
/// the shortest objective for a first token in view.
const DELAY_LIMIT: Duration = Duration::from_millis(250);
/// Delay on the way out from which on calls are refused: a small part of the time within which a
/// first token is of full use, so that another instance can still give it in time.
const SEND_DELAY_LIMIT: Duration = Duration::from_millis(120);
/// Time without overload after which an instance takes new connections again. Callers that moved
/// stay with their new instance; much shorter, and they would come back before the queue is gone.
const CALM: Duration = Duration::from_secs(4);
/// Time that a balancer needs to notice: it asks once a second and goes by two answers. Callers
/// that are sent away sooner come back to the same instance.
const NOTICE: Duration = Duration::from_millis(2_200);

/// `Pressure` tells when an instance carries more than its link does.
///
/// A balancer that chooses by a hash of the caller may give one instance many times the share of
/// another. Its queue then delays all of its calls until they time out, while its neighbours are
/// idle. An overloaded instance asks for no new connections and refuses what would wait too long
/// on the way out, at once: the caller's next try reaches another instance.
#[derive(Debug, Clone)]
pub struct Pressure {
    inbound: Meter,
    outbound: Meter,
    overload: Option<Overload>,
}

/// `Overload` is a time in which the link was too full.
#[derive(Debug, Clone, Copy)]
struct Overload {
    since: Duration,
    last: Duration,
}

impl Pressure {
    /// Makes the pressure on a link that carries so many bytes a second each way.
    #[must_use]
    pub fn new(link_bytes_per_s: u64) -> Self {
        let usable = (link_bytes_per_s / 100).saturating_mul(USABLE_PERCENT);
        Self {
            inbound: Meter::new(usable),
            outbound: Meter::new(usable),
            overload: None,
        }
    }

    /// Notes bytes that callers sent.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::pressure::Pressure;
    /// let mut pressure = Pressure::new(1_000_000);
    /// pressure.receive(Duration::ZERO, 900_000);
    /// assert!(pressure.is_high(Duration::ZERO));
    /// ```
    pub fn receive(&mut self, now: Duration, bytes: usize) {
        self.inbound.add(now, bytes);
        if self.inbound.delay(now) > DELAY_LIMIT {
            let since = match self.overload {
                Some(overload) if self.is_high(now) => overload.since,
                _ => now,
            };
            self.overload = Some(Overload { since, last: now });
        }
    }

    /// Notes bytes that this instance sends.
    pub fn send(&mut self, now: Duration, bytes: usize) {
        self.outbound.add(now, bytes);
    }

    /// Tells whether a call can be sent on without a long wait on the link.
    #[must_use]
    pub fn can_send(&self, now: Duration) -> bool {
        self.outbound.delay(now) <= SEND_DELAY_LIMIT
    }

    /// Tells whether the instance was overloaded lately and should get no new connections.
    #[must_use]
    pub fn is_high(&self, now: Duration) -> bool {
        self.overload
            .is_some_and(|overload| now.saturating_sub(overload.last) < CALM)
    }

    /// Tells whether callers that reconnect now are sent to other instances.
    #[must_use]
    pub fn should_move_callers(&self, now: Duration) -> bool {
        let is_noticed = |overload: Overload| now.saturating_sub(overload.since) >= NOTICE;
        self.is_high(now) && self.overload.is_some_and(is_noticed)
    }
}
