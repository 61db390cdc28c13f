//! Overload detection: how much of its link and processor an instance uses, and whether new calls
//! can be served in time.

use damaskstile_core::prelude::*;

use crate::admission::{
    Admission, AdmissionOptions, Admittance, CallDemand, CapacityUse, QueueState, Rejection,
};
use crate::backlog::Backlog;
use crate::call_cost::CallCost;
use crate::load_sample::LoadSample;

/// Share of the link and of the processor that calls may use. The rest is for headers,
/// acknowledgements and urgent traffic: answers in progress, store calls and gossip.
const USABLE_SHARE: f64 = 0.8;
/// Queueing delay, on the link or at the processor, above which an instance is overloaded: a
/// quarter of a second, half of the shortest objective for a first token in view.
const DELAY_LIMIT: Duration = Duration::from_millis(250);
/// Consecutive late load samples after which the processor counts as overloaded.
const LATE_SAMPLES: u32 = 3;
/// Load samples later than this indicate a pause of the machine rather than the cost of calls.
const MACHINE_PAUSE_MIN: Duration = Duration::from_secs(1);
/// Share of the time in which the processor is busy, above which its queue is taken into account.
/// Below it, an estimate from earlier or from another machine is no reason to refuse calls.
const BUSY_SHARE: f64 = 0.6;
/// Cost of a refused call relative to a served one: it is read and answered, but not sent.
const REFUSED_COST_SHARE: f64 = 0.25;
/// Shortest cool-down: time without overload after which an instance accepts new connections again.
/// If it were much shorter, callers would return before the queue has drained.
const COOL_DOWN_MIN: Duration = Duration::from_secs(16);
/// Longest cool-down. The cool-down grows each time an instance is overloaded soon after it
/// accepted new connections: a balancer that sends all callers of an account to one instance sends
/// them back as soon as it is ready, and they would oscillate between two instances that cannot
/// bear them.
const COOL_DOWN_MAX: Duration = Duration::from_secs(64);
/// Factor by which the cool-down grows.
const COOL_DOWN_GROWTH: u32 = 4;
/// Share in use above which an instance that was overloaded still has no room for new connections.
const FULL_SHARE: f64 = 0.5;

/// Load of an instance's link and processor.
///
/// A balancer that hashes by caller may give one instance many times the share of another. Its
/// queues then delay all of its calls until they time out, while its neighbours are idle. An
/// overloaded instance therefore reports that it is not ready for new connections, refuses the
/// calls that it cannot serve in time, and closes their connections. This way it sheds only the
/// callers that it cannot bear and keeps the others.
#[derive(Debug, Clone)]
pub struct Pressure {
    /// Decides which calls are admitted.
    pub admission: Admission,
    received: Backlog,
    sent: Backlog,
    work: Backlog,
    call_cost: CallCost,
    /// Calls since the last load sample, weighted by cost.
    calls: f64,
    /// Events and complete answers since the last load sample.
    events: f64,
    /// Time of the last overload.
    overloaded_at: Option<Duration>,
    /// Current cool-down.
    cool_down: Duration,
    late_samples: u32,
    /// Scheduling delay of the last load sample.
    scheduling_delay: Duration,
    /// Whether the processor was mostly busy up to the last load sample.
    is_busy: bool,
}

impl Pressure {
    /// Creates the load of an instance whose link carries this many bytes a second each way.
    #[must_use]
    pub fn new(link_bytes_per_s: u64) -> Self {
        Self::with_admission(link_bytes_per_s, AdmissionOptions::default())
    }

    /// Creates the load of an instance with options of the admission of calls.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // some hundred MB at most
    pub fn with_admission(link_bytes_per_s: u64, options: AdmissionOptions) -> Self {
        let bytes_per_s = link_bytes_per_s as f64 * USABLE_SHARE;
        Self {
            admission: Admission::new(options),
            received: Backlog::new(bytes_per_s),
            sent: Backlog::new(bytes_per_s),
            work: Backlog::new(USABLE_SHARE),
            call_cost: CallCost::default(),
            calls: 0.0,
            events: 0.0,
            overloaded_at: None,
            cool_down: COOL_DOWN_MIN,
            late_samples: 0,
            scheduling_delay: Duration::ZERO,
            is_busy: false,
        }
    }

    /// Records bytes received over the link.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::pressure::Pressure;
    /// let mut pressure = Pressure::new(1_000_000);
    /// pressure.note_received(Duration::ZERO, 900_000);
    /// assert!(pressure.is_overloaded(Duration::ZERO));
    /// ```
    #[allow(clippy::cast_precision_loss)] // sizes of messages
    pub fn note_received(&mut self, now: Duration, bytes: usize) {
        self.received.add(now, bytes as f64);
        self.check_link_delay(now);
    }

    /// Records bytes sent over the link.
    #[allow(clippy::cast_precision_loss)] // sizes of messages
    pub fn note_sent(&mut self, now: Duration, bytes: usize) {
        self.sent.add(now, bytes as f64);
        self.check_link_delay(now);
    }

    /// Returns whether the instance can begin to serve another call within `within`, and counts the
    /// call if so. `bytes` is what the call takes on the outgoing link. A call that would wait
    /// longer is better refused at once: another instance may have room. A `within` below the
    /// overload limit is raised to that limit, since most callers retry only once.
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
    pub fn admit(&mut self, now: Duration, bytes: usize, within: Duration) -> bool {
        let has_room = self.queue_state(now).wait() <= within.max(DELAY_LIMIT);
        self.count_call(now, bytes, has_room);
        has_room
    }

    /// Decides whether a call is admitted, by its urgency and by what it takes until its last
    /// event, and counts it. Where no calls yield to others, the decision is that of
    /// [`admit`](Self::admit).
    ///
    /// # Errors
    ///
    /// Returns why the call is rejected.
    pub fn admit_call(
        &mut self,
        now: Duration,
        demand: &CallDemand<'_>,
    ) -> Result<Admittance, Rejection> {
        let queues = self.queue_state(now);
        let verdict = self.admission.judge(now, demand, &queues);
        self.count_call(now, demand.bytes, verdict.is_ok());
        verdict
    }

    /// Counts an event of a stream or a complete answer that is passed on.
    pub fn note_event(&mut self) {
        self.events += 1.0;
    }

    /// Returns the state of the queues, and notes an overload if it shows one.
    fn queue_state(&mut self, now: Duration) -> QueueState {
        let work = self.work.delay(now);
        let work = if self.is_busy { work } else { Duration::ZERO };
        let sent = self.sent.delay(now);
        if work.max(sent) > DELAY_LIMIT {
            self.note_overload(now);
        }
        let is_lagging = self.late_samples >= LATE_SAMPLES;
        QueueState {
            sent,
            work,
            lag: if is_lagging {
                self.scheduling_delay
            } else {
                Duration::ZERO
            },
            is_overloaded: self.is_overloaded(now),
            link_bytes_per_s: self.sent.per_s(),
            processor_share: self.work.per_s(),
            call_s: self.call_cost.per_call_s(),
        }
    }

    #[allow(clippy::cast_precision_loss)] // sizes of messages
    fn count_call(&mut self, now: Duration, bytes: usize, is_admitted: bool) {
        let cost_s = self.call_cost.per_call_s();
        if is_admitted {
            self.sent.add(now, bytes as f64);
            self.work.add(now, cost_s);
            self.calls += 1.0;
        } else {
            self.work.add(now, cost_s * REFUSED_COST_SHARE);
            self.calls += REFUSED_COST_SHARE;
        }
    }

    /// Updates the estimates from a load sample.
    ///
    /// A single late sample may be a pause of the machine; several in a row mean that the calls
    /// need more processor time than the instance has.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::load_sample::LoadSample;
    /// use damaskstile_gateway::pressure::Pressure;
    /// let mut pressure = Pressure::new(1_000_000);
    /// let scheduling_delay = Duration::from_millis(400);
    /// let sample = LoadSample { scheduling_delay, ..LoadSample::default() };
    /// let samples = [1, 2, 3].map(Duration::from_secs);
    /// let high = samples.map(|now| {
    ///     pressure.sample(now, &sample);
    ///     pressure.is_overloaded(now)
    /// });
    /// assert_eq!(high, [false, false, true]);
    /// ```
    pub fn sample(&mut self, now: Duration, sample: &LoadSample) {
        if sample.scheduling_delay < MACHINE_PAUSE_MIN {
            let calls = std::mem::take(&mut self.calls);
            let events = std::mem::take(&mut self.events);
            self.call_cost.note(sample, calls);
            self.admission.note_sample(sample, calls, events);
            let usable = (USABLE_SHARE - self.call_cost.other_share()).max(USABLE_SHARE / 2.0);
            self.work.set_rate(now, usable);
            let busy = sample.busy_with_calls + sample.busy_with_other;
            self.is_busy = busy.as_secs_f64() >= BUSY_SHARE * sample.span.as_secs_f64();
        }
        self.scheduling_delay = sample.scheduling_delay;
        if sample.scheduling_delay < DELAY_LIMIT {
            self.late_samples = 0;
        } else {
            self.late_samples += 1;
            if self.late_samples >= LATE_SAMPLES {
                self.note_overload(now);
            }
        }
        if self.is_overloaded(now) && self.share(now) >= FULL_SHARE {
            self.overloaded_at = Some(now);
        }
    }

    /// Returns whether the instance was overloaded within the cool-down and should get no new
    /// connections.
    #[must_use]
    pub fn is_overloaded(&self, now: Duration) -> bool {
        let is_recent = |at| now.saturating_sub(at) < self.cool_down;
        self.overloaded_at.is_some_and(is_recent)
    }

    /// Returns whether the queues are too long now, whatever the average utilisation.
    pub fn is_strained(&mut self, now: Duration) -> bool {
        let [received, sent, work] = self.delays(now);
        let work = if self.is_busy { work } else { Duration::ZERO };
        self.late_samples >= LATE_SAMPLES || received.max(sent).max(work) > DELAY_LIMIT
    }

    /// Returns how long a call that arrives now would wait before it is sent.
    pub fn wait(&mut self, now: Duration) -> Duration {
        self.queue_state(now).wait()
    }

    /// Returns the queueing delays of the incoming link, the outgoing link and the processor.
    pub fn delays(&mut self, now: Duration) -> [Duration; 3] {
        let Self {
            received,
            sent,
            work,
            ..
        } = self;
        [received, sent, work].map(|backlog| backlog.delay(now))
    }

    /// Returns the share in use of the capacity that calls may use, of the link or of the
    /// processor, whichever is higher.
    pub fn share(&mut self, now: Duration) -> f64 {
        let link = self.received.share(now).max(self.sent.share(now));
        link.max(self.work.share(now))
    }

    /// Returns what a call takes of the incoming link, the outgoing link and the processor, in
    /// seconds of the capacity that calls may use. `bytes` is its size on each link.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // sizes of messages
    pub fn needs_s(&self, bytes: usize) -> [f64; 3] {
        let bytes = bytes as f64;
        [
            bytes / self.received.per_s(),
            bytes / self.sent.per_s(),
            self.call_cost.per_call_s() / self.work.per_s(),
        ]
    }

    /// Returns the fractions of the link and of the processor that open streams need until their
    /// last events.
    #[must_use]
    pub fn committed(&self) -> CapacityUse {
        let queues = QueueState {
            link_bytes_per_s: self.sent.per_s(),
            processor_share: self.work.per_s(),
            ..QueueState::default()
        };
        self.admission.committed(&queues)
    }

    fn check_link_delay(&mut self, now: Duration) {
        if self.received.delay(now).max(self.sent.delay(now)) > DELAY_LIMIT {
            self.note_overload(now);
        }
    }

    fn note_overload(&mut self, now: Duration) {
        if !self.is_overloaded(now) {
            let is_soon = |at| now.saturating_sub(at) < self.cool_down * 2;
            self.cool_down = if self.overloaded_at.is_some_and(is_soon) {
                (self.cool_down * COOL_DOWN_GROWTH).min(COOL_DOWN_MAX)
            } else {
                COOL_DOWN_MIN
            };
        }
        self.overloaded_at = Some(now);
    }
}
