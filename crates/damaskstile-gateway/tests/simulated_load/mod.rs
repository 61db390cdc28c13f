//! Simulated load of one instance.

use std::collections::BTreeMap;
use std::time::Duration;

use damaskstile_gateway::admission::{AdmissionOptions, CallDemand, StreamTotals};
use damaskstile_gateway::load_sample::LoadSample;
use damaskstile_gateway::pressure::Pressure;
use damaskstile_routes::CallClass;

/// Link of a small instance: 10 Mbit/s, of which calls may use 1 MB/s.
pub const NARROW_BYTES_PER_S: u64 = 1_250_000;
/// Link that no test saturates.
pub const WIDE_BYTES_PER_S: u64 = 125_000_000;
/// Interval between two load samples.
pub const SAMPLE_MS: u64 = 250;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn class(priority: u8, objective_ms: u64, pause_limit_ms: Option<u64>) -> CallClass {
    CallClass {
        priority,
        objective: ms(objective_ms),
        pause_limit: pause_limit_ms.map(ms),
    }
}

/// Calls of one account and route that arrive at a constant rate and are answered with streams.
#[derive(Debug, Clone, Copy)]
pub struct Source {
    pub account: &'static str,
    pub class: CallClass,
    /// Interval between two calls.
    pub interval_ms: u64,
    pub bytes: usize,
    pub events: u64,
    pub event_bytes: usize,
    /// Processor time of a call; an event takes a tenth.
    pub call_us: u64,
}

/// Short urgent streams: 1,500 bytes, and 10 events of 150 bytes in half a second.
pub fn urgent(interval_ms: u64) -> Source {
    Source {
        account: "urgent",
        class: class(0, 400, Some(400)),
        interval_ms,
        bytes: 1_500,
        events: 10,
        event_bytes: 150,
        call_us: 1_000,
    }
}

/// Heavy calls that can wait: 10 kB, and 20 events of 150 bytes in a second.
pub fn bulk(interval_ms: u64) -> Source {
    Source {
        account: "bulk",
        class: class(2, 1_500, None),
        bytes: 10_000,
        events: 20,
        ..urgent(interval_ms)
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub admitted: u32,
    pub rejected: u32,
}

impl Counts {
    pub fn rejected_percent(self) -> u32 {
        self.rejected * 100 / (self.admitted + self.rejected).max(1)
    }
}

/// Instance whose streams send an event every 50 ms, simulated in steps of a millisecond.
pub struct Simulation {
    pub pressure: Pressure,
    /// Streams by the time of their next event, each with its source and the events left.
    streams: BTreeMap<u64, Vec<(Source, u64)>>,
    counts: BTreeMap<&'static str, Counts>,
    busy_us: u64,
    /// Events that the outgoing queue delays by more than the urgent streams may pause.
    pub late_events: u32,
}

impl Simulation {
    pub fn new(link_bytes_per_s: u64, by_urgency: bool) -> Self {
        let options = AdmissionOptions { by_urgency };
        Self {
            pressure: Pressure::with_admission(link_bytes_per_s, options),
            streams: BTreeMap::new(),
            counts: BTreeMap::new(),
            busy_us: 0,
            late_events: 0,
        }
    }

    /// Runs from one time to another; returns the counts of calls by account in that time.
    pub fn run(
        &mut self,
        sources: &[Source],
        span_ms: std::ops::Range<u64>,
    ) -> BTreeMap<&str, Counts> {
        self.counts.clear();
        for at_ms in span_ms {
            for source in sources {
                if at_ms % source.interval_ms == 0 {
                    self.call(at_ms, source);
                }
            }
            for (source, left) in self.streams.remove(&at_ms).unwrap_or_default() {
                self.event(at_ms, source, left);
            }
            if at_ms % SAMPLE_MS == 0 {
                let busy = Duration::from_micros(std::mem::take(&mut self.busy_us));
                let sample = LoadSample {
                    span: ms(SAMPLE_MS),
                    busy_with_calls: busy.min(ms(SAMPLE_MS)),
                    ..LoadSample::default()
                };
                self.pressure.sample(ms(at_ms), &sample);
            }
        }
        self.counts.clone()
    }

    fn call(&mut self, at_ms: u64, source: &Source) {
        let now = ms(at_ms);
        let demand = CallDemand {
            route: source.account,
            account: source.account,
            class: source.class,
            is_stream: true,
            bytes: source.bytes,
        };
        self.pressure.note_received(now, source.bytes);
        let is_admitted = self.pressure.admit_call(now, &demand).is_ok();
        let counts = self.counts.entry(source.account).or_default();
        if is_admitted {
            counts.admitted += 1;
            self.busy_us += source.call_us;
            let admission = &mut self.pressure.admission;
            admission.begin_stream(source.account, source.class.pause_limit);
            self.schedule(at_ms, *source, source.events);
        } else {
            counts.rejected += 1;
            self.busy_us += source.call_us / 4;
        }
    }

    fn schedule(&mut self, at_ms: u64, source: Source, left: u64) {
        let streams = self.streams.entry(at_ms + 50).or_default();
        streams.push((source, left));
    }

    fn event(&mut self, at_ms: u64, source: Source, left: u64) {
        let now = ms(at_ms);
        self.pressure.note_received(now, source.event_bytes);
        self.pressure.note_sent(now, source.event_bytes);
        self.pressure.note_event();
        self.busy_us += source.call_us / 10;
        let [_, sent, _] = self.pressure.delays(now);
        self.late_events += u32::from(sent > ms(400));
        if left > 1 {
            return self.schedule(at_ms, source, left - 1);
        }
        let totals = StreamTotals {
            bytes: source.events * u64::try_from(source.event_bytes).unwrap(),
            events: source.events,
            took: ms(50 * source.events),
        };
        let admission = &mut self.pressure.admission;
        admission.end_stream(source.account, &totals);
    }
}
