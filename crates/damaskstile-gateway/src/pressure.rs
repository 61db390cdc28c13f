//! `pressure` tells how much of its link and of its processor an instance uses, and when that is
//! more than they bear.

use damaskstile_core::prelude::*;

use crate::backlog::Backlog;
use crate::call_cost::CallCost;
use crate::look::Look;

/// Part of the link and of the processor that calls may fill. The rest is for headers,
/// acknowledgements, and what cannot wait: answers to calls that are due, and what the store and
/// peers are told.
const USABLE: f64 = 0.8;
/// Delay on the link, or of what the processor has to do, from which on an instance is overloaded. A
/// quarter of a second is half of the shortest objective for a first token in view.
const DELAY_LIMIT: Duration = Duration::from_millis(250);
/// Looks in a row that are so late until the processor counts as overloaded.
const LATE_LOOKS: u32 = 3;
/// Looks that come later than this tell of a pause of the machine, and not of what calls take.
const PAUSE_MIN: Duration = Duration::from_secs(1);
/// Part of the time in which a processor has work, from which on what waits for it counts. What calls
/// took before, or take on another machine, is no reason to refuse any.
const BUSY_SHARE: f64 = 0.6;
/// Part of what a call takes of the processor that is taken for one that is refused: it is read and
/// answered, and not sent.
const REFUSED_PART: f64 = 0.25;
/// Time without overload after which an instance takes new connections again. Much shorter, and its
/// callers would come back before the queue is gone.
const CALM_MIN: Duration = Duration::from_secs(16);
/// The longest such time. It grows each time that an instance is overloaded soon after it took new
/// connections: a balancer that sends all callers of an account to one instance sends them back as
/// soon as it is ready, and they would go to and fro between two that cannot bear them.
const CALM_MAX: Duration = Duration::from_secs(64);
/// Factor by which it grows.
const CALM_GROWTH: u32 = 4;
/// Use from which on an instance that was overloaded has no room for new connections yet.
const FULL_SHARE: f64 = 0.5;

/// `Pressure` tells how much of its link and of its processor an instance uses.
///
/// A balancer that chooses by a hash of the caller may give one instance many times the share of
/// another. Its queues then delay all of its calls until they time out, while its neighbours are
/// idle. An overloaded instance asks for no new connections, and refuses what it cannot serve in
/// time, with the connection: so it gives up as many callers as it cannot bear, and the others stay.
#[derive(Debug, Clone)]
pub struct Pressure {
    received: Backlog,
    sent: Backlog,
    work: Backlog,
    call_cost: CallCost,
    /// Calls since the last look.
    calls: f64,
    /// When it was last overloaded.
    overloaded_at: Option<Duration>,
    /// Time without overload until it takes new connections again.
    calm: Duration,
    late_looks: u32,
    /// How late the last look came.
    lateness: Duration,
    /// Whether the processor had little rest up to the last look.
    is_busy: bool,
}

impl Pressure {
    /// Makes the pressure on an instance whose link carries so many bytes a second each way.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // some hundred MB at most
    pub fn new(link_bytes_per_s: u64) -> Self {
        let bytes_per_s = link_bytes_per_s as f64 * USABLE;
        Self {
            received: Backlog::new(bytes_per_s),
            sent: Backlog::new(bytes_per_s),
            work: Backlog::new(USABLE),
            call_cost: CallCost::default(),
            calls: 0.0,
            overloaded_at: None,
            calm: CALM_MIN,
            late_looks: 0,
            lateness: Duration::ZERO,
            is_busy: false,
        }
    }

    /// Notes bytes that came over the link.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::pressure::Pressure;
    /// let mut pressure = Pressure::new(1_000_000);
    /// pressure.note_received(Duration::ZERO, 900_000);
    /// assert!(pressure.is_high(Duration::ZERO));
    /// ```
    #[allow(clippy::cast_precision_loss)] // sizes of messages
    pub fn note_received(&mut self, now: Duration, bytes: usize) {
        self.received.add(now, bytes as f64);
        self.look_at_delay(now);
    }

    /// Notes bytes that go out over the link.
    #[allow(clippy::cast_precision_loss)] // sizes of messages
    pub fn note_sent(&mut self, now: Duration, bytes: usize) {
        self.sent.add(now, bytes as f64);
        self.look_at_delay(now);
    }

    /// Tells whether the instance can begin to serve another call within a time, which takes so many
    /// bytes of the way out, and counts it if so. One that would wait longer is better refused at
    /// once: another instance may have room. Times shorter than that for which the instance counts as
    /// overloaded are no reason, since most callers ask only once more.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::pressure::Pressure;
    /// let mut pressure = Pressure::new(1_000_000);
    /// let within = Duration::from_millis(400);
    /// assert!(pressure.admit(Duration::ZERO, 900_000, within));
    /// assert!(!pressure.admit(Duration::ZERO, 10_000, within));
    /// assert!(pressure.admit(Duration::from_secs(1), 10_000, within));
    /// ```
    #[allow(clippy::cast_precision_loss)] // sizes of messages
    pub fn admit(&mut self, now: Duration, bytes: usize, within: Duration) -> bool {
        let limit = within.max(DELAY_LIMIT);
        let of_work = self.work.delay(now);
        let is_late = self.is_busy && of_work > DELAY_LIMIT;
        if is_late || self.sent.delay(now) > DELAY_LIMIT {
            self.note_overload(now);
        }
        let is_behind = self.late_looks >= LATE_LOOKS && self.lateness > limit;
        let has_time = !is_behind && (!self.is_busy || of_work <= limit);
        let has_room = has_time && self.sent.delay(now) <= limit;
        let cost_s = self.call_cost.of_call_s();
        if has_room {
            self.sent.add(now, bytes as f64);
            self.work.add(now, cost_s);
            self.calls += 1.0;
        } else {
            self.work.add(now, cost_s * REFUSED_PART);
            self.calls += REFUSED_PART;
        }
        has_room
    }

    /// Takes in what the instance did since its last look.
    ///
    /// Once late may be a pause of its machine; several times in a row it has less processor time
    /// than its calls take.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::look::Look;
    /// use damaskstile_gateway::pressure::Pressure;
    /// let mut pressure = Pressure::new(1_000_000);
    /// let lateness = Duration::from_millis(400);
    /// let look = Look { lateness, ..Look::default() };
    /// let looks = [1, 2, 3].map(Duration::from_secs);
    /// let high = looks.map(|now| {
    ///     pressure.look(now, &look);
    ///     pressure.is_high(now)
    /// });
    /// assert_eq!(high, [false, false, true]);
    /// ```
    pub fn look(&mut self, now: Duration, look: &Look) {
        if look.lateness < PAUSE_MIN {
            self.call_cost.note(look, std::mem::take(&mut self.calls));
            let usable = (USABLE - self.call_cost.otherwise()).max(USABLE / 2.0);
            self.work.set_rate(now, usable);
            let busy = look.busy_with_calls + look.busy_otherwise;
            self.is_busy = busy.as_secs_f64() >= BUSY_SHARE * look.span.as_secs_f64();
        }
        self.lateness = look.lateness;
        if look.lateness < DELAY_LIMIT {
            self.late_looks = 0;
        } else {
            self.late_looks += 1;
            if self.late_looks >= LATE_LOOKS {
                self.note_overload(now);
            }
        }
        if self.is_high(now) && self.share(now) >= FULL_SHARE {
            self.overloaded_at = Some(now);
        }
    }

    /// Tells whether the instance was overloaded lately and should get no new connections.
    #[must_use]
    pub fn is_high(&self, now: Duration) -> bool {
        let is_recent = |at| now.saturating_sub(at) < self.calm;
        self.overloaded_at.is_some_and(is_recent)
    }

    /// Returns how long what waits takes: on the way in, on the way out, and at the processor.
    pub fn delays(&mut self, now: Duration) -> [Duration; 3] {
        let Self {
            received,
            sent,
            work,
            ..
        } = self;
        [received, sent, work].map(|backlog| backlog.delay(now))
    }

    /// Returns the share in use of what calls may fill, of the link or of the processor.
    pub fn share(&mut self, now: Duration) -> f64 {
        let link = self.received.share(now).max(self.sent.share(now));
        link.max(self.work.share(now))
    }

    fn look_at_delay(&mut self, now: Duration) {
        if self.received.delay(now).max(self.sent.delay(now)) > DELAY_LIMIT {
            self.note_overload(now);
        }
    }

    fn note_overload(&mut self, now: Duration) {
        if !self.is_high(now) {
            let is_soon = |at| now.saturating_sub(at) < self.calm * 2;
            self.calm = if self.overloaded_at.is_some_and(is_soon) {
                (self.calm * CALM_GROWTH).min(CALM_MAX)
            } else {
                CALM_MIN
            };
        }
        self.overloaded_at = Some(now);
    }
}
