//! Model of a fleet under load: instances with their tables, and targets that prefill one prompt
//! after the other, during which their streams stand still.

use damaskstile_core::prelude::*;
use damaskstile_gateway::prompt_decision::PromptDecision;
use damaskstile_gateway::prompt_queue::{PromptQueue, PromptTicket};
use damaskstile_gateway::queued_prompt::QueuedPrompt;
use damaskstile_targets::{
    Choice, Listed, Part, ReportedLoad, TargetTable, TargetTableOptions, Work,
};

const SERVICE: &str = "model";
const TARGETS: usize = 60;
const INSTANCES: usize = 70;
const PREFILL_TOKENS_PER_MS: f64 = 32.0;
/// Share of the prefill time that a fetched token takes.
const FETCHED_SHARE: f64 = 0.2;
/// Calls arrive in each millisecond with these probabilities, in thousandths.
const BULK_PER_S: u64 = 180;
const URGENT_PER_S: u64 = 200;
/// The burst, and the whole run with the seconds before and after it, in milliseconds.
const BURST_MS: std::ops::Range<u64> = 2_000..22_000;
const RUN_MS: u64 = 25_000;
/// Time for which a stream emits events.
const STREAM_MS: u64 = 2_500;
const DIGEST_MS: u64 = 400;
const DIGEST_PEERS: usize = 10;
const UPDATE_MS: u64 = 250;
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// Longest pause that the route of the urgent streams allows.
const PAUSE_MAX_MS: f64 = 400.0;
/// Objectives.
const BULK_OBJECTIVE_MS: f64 = 1_500.0;
const URGENT_OBJECTIVE_MS: f64 = 400.0;

fn listed(index: usize) -> Listed {
    Listed {
        target: format!("t{index}"),
        incarnation: Some(1),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: format!("c{}", index % 3),
        slots_requests: 32,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

fn prompt(prefix: u64, shared_tokens: u64, call: u64, own_tokens: u64) -> Work {
    let part = |name, tokens| Part { name, tokens };
    Work {
        prompt_tokens: shared_tokens + own_tokens,
        parts: vec![
            part(prefix, shared_tokens),
            part(1_000_000 + call, own_tokens),
        ],
        ..Work::default()
    }
}

fn bulk(prefix: u64, call: u64) -> Work {
    Work {
        is_bulk: true,
        ..prompt(1_000 + prefix, 6_300, call, 2_890)
    }
}

fn urgent(prefix: u64, call: u64) -> Work {
    prompt(2_000 + prefix, 600, call, 200)
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Urgent streams, those that paused for longer than their route allows, those that began
    /// late, and the 99th percentile of the longest pauses.
    pub streams: usize,
    pub stalled: usize,
    pub late_urgent: usize,
    pub pause_p99_ms: f64,
    /// Bulk prompts, and those that began late.
    pub prompts: usize,
    pub late_bulk: usize,
    /// Bulk prompts that were rejected.
    pub rejected: usize,
}

#[derive(Debug)]
struct Stream {
    instance: usize,
    choice: Choice,
    ticket: Option<PromptTicket>,
    is_urgent: bool,
    is_prefilled: bool,
    first_event_ms: f64,
    pause_ms: f64,
}

#[derive(Debug, Default)]
struct Target {
    busy_since_ms: f64,
    busy_until_ms: f64,
    cached: BTreeSet<u64>,
    streams: Vec<Stream>,
}

pub struct Fleet {
    random: Random,
    tables: Vec<TargetTable>,
    queues: Vec<PromptQueue>,
    /// Prompts that wait, with the times of their arrival.
    waiting: BTreeMap<(usize, PromptTicket), (u64, Work)>,
    targets: Vec<Target>,
    outcome: Outcome,
    pauses_ms: Vec<f64>,
    calls: u64,
}

impl Fleet {
    pub fn new(bulk_ms: f64) -> Self {
        let tables = (0..INSTANCES).map(|instance| {
            let options = TargetTableOptions {
                bulk_ms,
                prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
                is_learning: false,
                ..TargetTableOptions::default()
            };
            let name = format!("i{instance}");
            let mut table = TargetTable::new("c0", options).for_instance(&name, Duration::ZERO);
            for index in 0..TARGETS {
                table.list(Duration::ZERO, listed(index));
            }
            table.set_instances(u64::try_from(INSTANCES).unwrap());
            table
        });
        Self {
            random: Random::new(3),
            tables: tables.collect(),
            queues: vec![PromptQueue::new(LINK_BYTES_PER_S); INSTANCES],
            waiting: BTreeMap::new(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            outcome: Outcome::default(),
            pauses_ms: Vec::new(),
            calls: 0,
        }
    }

    pub fn run(mut self) -> Outcome {
        for ms in 0..RUN_MS {
            let now = Duration::from_millis(ms);
            self.end_streams(ms);
            if ms % DIGEST_MS == 0 {
                self.gossip(now);
            }
            if ms % UPDATE_MS == 0 {
                self.update(now);
            }
            if BURST_MS.contains(&ms) && self.random.below(1_000) < BULK_PER_S {
                let work = bulk(self.random.below(40), self.calls);
                self.arrive(ms, work);
            }
            if self.random.below(1_000) < URGENT_PER_S {
                let work = urgent(self.random.below(50), self.calls);
                let instance = self.instance();
                self.send(ms, ms, instance, &work, None);
            }
        }
        self.end_streams(RUN_MS * 2);
        self.pauses_ms.sort_by(f64::total_cmp);
        self.outcome.pause_p99_ms = self.pauses_ms[self.pauses_ms.len() * 99 / 100];
        self.outcome
    }

    /// Draws an instance. Each gets a share in proportion to the reciprocal of its number.
    fn instance(&mut self) -> usize {
        let weight = |index: usize| 100_000 / u64::try_from(index + 1).unwrap();
        let mut draw = self.random.below((0..INSTANCES).map(weight).sum());
        (0..INSTANCES)
            .find(|index| {
                let is_drawn = draw < weight(*index);
                draw = draw.saturating_sub(weight(*index));
                is_drawn
            })
            .unwrap_or(0)
    }

    fn update(&mut self, now: Duration) {
        for from in 0..INSTANCES {
            let update = self.tables[from].update_bulk_targets(now);
            let loads = self.tables[from].bulk_loads_to_report(now);
            for to in (0..INSTANCES).filter(|to| update.has_risen && *to != from) {
                self.tables[to].apply_bulk_loads(now, &format!("i{from}"), &loads);
            }
            self.queues[from].set_limit(self.tables[from].bulk_limit(SERVICE));
            self.decide(now, from);
        }
    }

    /// A bulk prompt arrives.
    fn arrive(&mut self, ms: u64, work: Work) {
        self.outcome.prompts += 1;
        let (now, instance) = (Duration::from_millis(ms), self.instance());
        let table = &mut self.tables[instance];
        let Some(prefill) = table.bulk_prefill(SERVICE, &work) else {
            return self.send(ms, ms, instance, &work, None);
        };
        table.note_bulk(now, SERVICE, prefill);
        let ticket = self.queues[instance].add(QueuedPrompt {
            rank: 2,
            due_at: now + Duration::from_millis(1_500),
            expires_at: now + Duration::from_millis(1_500),
            prefill,
            bytes: 9_000,
        });
        self.waiting.insert((instance, ticket), (ms, work));
        self.decide(now, instance);
    }

    fn decide(&mut self, now: Duration, instance: usize) {
        let ms = u64::try_from(now.as_millis()).unwrap();
        for (ticket, decision) in self.queues[instance].decide(now) {
            let (arrived_ms, work) = self.waiting.remove(&(instance, ticket)).unwrap();
            match decision {
                PromptDecision::Start => self.send(ms, arrived_ms, instance, &work, Some(ticket)),
                PromptDecision::Reject { .. } => self.outcome.rejected += 1,
            }
        }
    }

    fn gossip(&mut self, now: Duration) {
        for from in 0..INSTANCES {
            let loads = self.tables[from].bulk_loads_to_report(now);
            for _ in 0..DIGEST_PEERS {
                let to = self.random.index(INSTANCES);
                if to != from {
                    self.tables[to].apply_bulk_loads(now, &format!("i{from}"), &loads);
                }
            }
        }
    }

    #[allow(clippy::cast_precision_loss)] // tokens and milliseconds
    fn send(
        &mut self,
        ms: u64,
        arrived_ms: u64,
        instance: usize,
        work: &Work,
        ticket: Option<PromptTicket>,
    ) {
        self.calls += 1;
        let is_urgent = !work.is_bulk;
        let (now, now_ms) = (Duration::from_millis(ms), ms as f64);
        let table = &mut self.tables[instance];
        let choice = table.choose(now, SERVICE, work, &[]).unwrap();
        table.sent(now, &choice, work);
        let reading = table.prefill_to_report(&choice);
        if let Some(time) = reading {
            for table in &mut self.tables {
                table.apply_prefill_report(now, &choice.identity(), time);
            }
        }
        let index: usize = choice.target[1..].parse().unwrap();
        let target = &mut self.targets[index];
        let is_cached = !target.cached.insert(work.parts[0].name);
        let shared = work.parts[0].tokens as f64 * if is_cached { 0.0 } else { FETCHED_SHARE };
        let prefill_ms = (work.parts[1].tokens as f64 + shared) / PREFILL_TOKENS_PER_MS;
        if target.busy_until_ms < now_ms {
            (target.busy_since_ms, target.busy_until_ms) = (now_ms, now_ms);
        }
        target.busy_until_ms += prefill_ms;
        for stream in &mut target.streams {
            let since_ms = target.busy_since_ms.max(stream.first_event_ms);
            let pause_ms = target.busy_until_ms - since_ms;
            stream.pause_ms = stream.pause_ms.max(pause_ms);
        }
        let first_event_ms = target.busy_until_ms;
        let took_ms = first_event_ms - arrived_ms as f64;
        if is_urgent {
            self.outcome.streams += 1;
            self.outcome.late_urgent += usize::from(took_ms > URGENT_OBJECTIVE_MS);
        } else {
            self.outcome.late_bulk += usize::from(took_ms > BULK_OBJECTIVE_MS);
        }
        target.streams.push(Stream {
            instance,
            choice,
            ticket,
            is_urgent,
            is_prefilled: false,
            first_event_ms,
            pause_ms: 0.0,
        });
    }

    /// Handles first events, which carry the load of the target, and ends of streams.
    #[allow(clippy::cast_precision_loss)] // milliseconds
    fn end_streams(&mut self, ms: u64) {
        let (now, now_ms) = (Duration::from_millis(ms), ms as f64);
        let mut freed = BTreeSet::new();
        for target in &mut self.targets {
            let running = u64::try_from(target.streams.len()).unwrap();
            for stream in &mut target.streams {
                if !stream.is_prefilled && stream.first_event_ms <= now_ms {
                    stream.is_prefilled = true;
                    let table = &mut self.tables[stream.instance];
                    let load = ReportedLoad {
                        running,
                        ..ReportedLoad::default()
                    };
                    table.report(now, &stream.choice, load);
                    table.prefilled(&stream.choice);
                    if let Some(ticket) = stream.ticket {
                        self.queues[stream.instance].remove(now, ticket, true);
                        freed.insert(stream.instance);
                    }
                }
            }
            let has_ended = |stream: &Stream| stream.first_event_ms + STREAM_MS as f64 <= now_ms;
            let streams = std::mem::take(&mut target.streams);
            let (ended, open) = streams.into_iter().partition(has_ended);
            target.streams = open;
            let ended: Vec<Stream> = ended;
            for stream in ended {
                self.tables[stream.instance].ended(&stream.choice);
                if stream.is_urgent {
                    self.outcome.stalled += usize::from(stream.pause_ms > PAUSE_MAX_MS);
                    self.pauses_ms.push(stream.pause_ms);
                }
            }
        }
        for instance in freed {
            self.decide(now, instance);
        }
    }
}
