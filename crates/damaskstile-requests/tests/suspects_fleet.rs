//! Simulation of a fleet that must detect a content that crashes its targets, while digests get
//! lost, instances restart and other calls run on the same targets.

mod support;

use std::collections::BTreeMap;

use damaskstile_core::prelude::*;
use damaskstile_core::random::Random;
use damaskstile_requests::{SuspectReport, Suspects};
use support::network::{DIGEST_MS, FANOUT, STEP_MS, arrives_ms, collectors, digest_recipients};
use support::{ACCOUNT, at_ms, content, fingerprint};

/// Body of the call that crashes targets.
const CRASHING: &str = "deadly";
/// Time after the third crash within which the instances must detect the content.
const DETECTION_MS: u64 = 3_000;
/// Maximum number of sends of the content after that time.
const LATE_SENDS_MAX: usize = 3;
/// Time from a send of the content to the crash of its target.
const CRASH_AFTER_MS: u64 = 120;
/// Time that a target takes to restart after a crash.
const RESTART_MS: u64 = 2_000;
/// Maximum number of sends per attempt of the caller.
const SENDS_PER_ATTEMPT: usize = 2;
/// Number of background calls that run on a target.
const BACKGROUND_CALLS_PER_TARGET: usize = 30;
/// Maximum run time of a background call.
const BACKGROUND_RUN_MS_MAX: u64 = 4_000;
/// Maximum number of sends of a background call, over two attempts of its caller.
const BACKGROUND_SENDS_MAX: usize = 4;
/// Maximum number of refused background calls per thousand interrupted ones.
const REFUSED_PER_MILLE_MAX: usize = 10;
/// Simulated time.
const SIMULATED_MS: u64 = 30_000;

/// A send of the crashing call that has not crashed its target yet.
#[derive(Debug, Clone)]
struct InFlight {
    instance: usize,
    target: usize,
    ends_at_ms: u64,
    sends_left: usize,
}

/// A harmless call that runs on a target.
#[derive(Debug, Clone)]
struct BackgroundCall {
    body: String,
    ends_at_ms: u64,
    sends_left: usize,
}

/// `Fleet` is a simulated fleet with its targets.
struct Fleet {
    random: Random,
    suspects: Vec<Suspects>,
    digest_at_ms: Vec<u64>,
    /// When each instance last started.
    started_ms: Vec<u64>,
    /// Datagrams in transit, by arrival time.
    datagrams: BTreeMap<u64, Vec<(usize, Vec<SuspectReport>)>>,
    /// Incarnation of each target, and the time from which it accepts calls.
    targets: Vec<(u64, u64)>,
    in_flight: Vec<InFlight>,
    crashes_ms: Vec<u64>,
    /// Times of sends by instances that did not start recently.
    sends_ms: Vec<u64>,
    /// Background calls that run on each target.
    background: Vec<Vec<BackgroundCall>>,
    /// Background calls started so far, of those interrupted by a crash, and of those refused.
    background_count: u64,
    broken: usize,
    refused: usize,
}

impl Fleet {
    fn new(seed: u64, instances: usize, targets: usize) -> Self {
        let mut random = Random::new(seed);
        let digest_at_ms = (0..instances).map(|_| random.below(DIGEST_MS)).collect();
        Self {
            random,
            suspects: vec![Suspects::default(); instances],
            digest_at_ms,
            started_ms: vec![0; instances],
            datagrams: BTreeMap::new(),
            targets: vec![(1, 0); targets],
            in_flight: Vec::new(),
            crashes_ms: Vec::new(),
            sends_ms: Vec::new(),
            background: vec![Vec::new(); targets],
            background_count: 0,
            broken: 0,
            refused: 0,
        }
    }

    fn send_digest(&mut self, now_ms: u64, from: usize) {
        self.digest_at_ms[from] = now_ms + DIGEST_MS;
        let reports = self.suspects[from].reports(at_ms(now_ms));
        if reports.is_empty() {
            return;
        }
        for to in digest_recipients(&mut self.random, from, self.suspects.len()) {
            self.datagram(now_ms, to, reports.clone());
        }
    }

    fn datagram(&mut self, now_ms: u64, to: usize, reports: Vec<SuspectReport>) {
        if let Some(arrives_ms) = arrives_ms(&mut self.random, now_ms) {
            let arriving = self.datagrams.entry(arrives_ms).or_default();
            arriving.push((to, reports));
        }
    }

    /// Reports to the instances that collect the crashes of a content: all instances in a small
    /// fleet.
    fn report_to_collectors(&mut self, now_ms: u64, from: usize, body: &str) {
        let name = fingerprint(body);
        let Some(report) = self.suspects[from].report(at_ms(now_ms), &name) else {
            return;
        };
        for to in collectors(&name.to_string(), self.suspects.len()) {
            self.datagram(now_ms, to, vec![report.clone()]);
        }
    }

    fn send(&mut self, now_ms: u64, instance: usize, sends_left: usize) {
        let is_quarantined =
            self.suspects[instance].quarantined_for(at_ms(now_ms), &content(CRASHING));
        let available: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].1 <= now_ms)
            .collect();
        if is_quarantined.is_some() || available.is_empty() || sends_left == 0 {
            return;
        }
        let target = available[self.random.index(available.len())];
        let started_ms = self.started_ms[instance];
        if started_ms == 0 || now_ms > started_ms + DETECTION_MS {
            self.sends_ms.push(now_ms);
        }
        self.in_flight.push(InFlight {
            instance,
            target,
            ends_at_ms: now_ms + CRASH_AFTER_MS,
            sends_left: sends_left - 1,
        });
    }

    fn crash_target(&mut self, now_ms: u64, in_flight: &InFlight) {
        let (incarnation, available_at_ms) = self.targets[in_flight.target];
        if available_at_ms > now_ms {
            return;
        }
        self.targets[in_flight.target] = (incarnation + 1, now_ms + RESTART_MS);
        self.crashes_ms.push(now_ms);
        let name = in_flight.target.to_string();
        let identity = TargetIdentity::new(&name, Some(incarnation));
        for call in std::mem::take(&mut self.background[in_flight.target]) {
            self.broken += 1;
            let instance = self.random.index(self.suspects.len());
            self.note_crash(now_ms, instance, &call.body, &identity);
            self.retry_background(now_ms, call);
        }
        self.note_crash(now_ms, in_flight.instance, CRASHING, &identity);
    }

    fn note_crash(&mut self, now_ms: u64, instance: usize, body: &str, target: &TargetIdentity) {
        let suspects = &mut self.suspects[instance];
        let name = fingerprint(body);
        let changes = suspects.note_crash(at_ms(now_ms), name, ACCOUNT, target.clone());
        if !changes.quarantined.is_empty() {
            self.digest_at_ms[instance] = now_ms;
        }
        self.report_to_collectors(now_ms, instance, body);
    }

    /// Sends an interrupted background call again.
    fn retry_background(&mut self, now_ms: u64, call: BackgroundCall) {
        let instance = self.random.index(self.suspects.len());
        let suspects = &self.suspects[instance];
        if suspects
            .quarantined_for(at_ms(now_ms), &content(&call.body))
            .is_some()
        {
            self.refused += 1;
            return;
        }
        let target = self.random.index(self.targets.len());
        if call.sends_left > 0 && self.targets[target].1 <= now_ms {
            self.background[target].push(BackgroundCall {
                ends_at_ms: now_ms + self.random.below(BACKGROUND_RUN_MS_MAX),
                sends_left: call.sends_left - 1,
                ..call
            });
        }
    }

    /// Completes the background calls that are done, and starts new ones.
    fn step_background(&mut self, now_ms: u64) {
        for target in 0..self.targets.len() {
            let calls = std::mem::take(&mut self.background[target]);
            let (done, running): (Vec<_>, Vec<_>) = calls
                .into_iter()
                .partition(|call| call.ends_at_ms <= now_ms);
            self.background[target] = running;
            for call in done {
                let instance = self.random.index(self.suspects.len());
                let suspects = &mut self.suspects[instance];
                let _ = suspects.note_success(at_ms(now_ms), &content(&call.body));
                self.report_to_collectors(now_ms, instance, &call.body);
            }
            if self.targets[target].1 <= now_ms
                && self.background[target].len() < BACKGROUND_CALLS_PER_TARGET
            {
                self.background_count += 1;
                self.background[target].push(BackgroundCall {
                    body: format!("other {}", self.background_count),
                    ends_at_ms: now_ms + self.random.below(BACKGROUND_RUN_MS_MAX),
                    sends_left: BACKGROUND_SENDS_MAX - 1,
                });
            }
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = at_ms(now_ms);
        let later = self.datagrams.split_off(&(now_ms + 1));
        for (to, reports) in std::mem::replace(&mut self.datagrams, later)
            .into_values()
            .flatten()
        {
            for report in reports {
                let changes = self.suspects[to].merge_report(now, report);
                if !changes.quarantined.is_empty() {
                    self.digest_at_ms[to] = now_ms;
                }
            }
        }
        let (crashed, in_flight): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|in_flight| in_flight.ends_at_ms <= now_ms);
        self.in_flight = in_flight;
        for in_flight in crashed {
            self.crash_target(now_ms, &in_flight);
            self.send(now_ms, in_flight.instance, in_flight.sends_left);
        }
        self.step_background(now_ms);
        for instance in 0..self.suspects.len() {
            if self.digest_at_ms[instance] <= now_ms {
                self.send_digest(now_ms, instance);
            }
        }
    }

    /// Simulates a run in which the crashing call is repeated and instances restart regularly.
    fn simulate(&mut self, repeat_ms: u64, restart_ms: u64) {
        let (mut repeat_at_ms, mut restart_at_ms) = (0, restart_ms);
        for now_ms in (0..SIMULATED_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            if now_ms >= repeat_at_ms {
                repeat_at_ms = now_ms + 1 + self.random.below(2 * repeat_ms);
                let instance = self.random.index(self.suspects.len());
                self.send(now_ms, instance, SENDS_PER_ATTEMPT);
            }
            if now_ms >= restart_at_ms {
                restart_at_ms += restart_ms;
                let instance = self.random.index(self.suspects.len());
                self.restart(now_ms, instance);
            }
            self.step(now_ms);
        }
    }

    /// Restarts an instance, whereupon some peers send it their reports.
    fn restart(&mut self, now_ms: u64, instance: usize) {
        self.suspects[instance] = Suspects::default();
        self.started_ms[instance] = now_ms;
        for _ in 0..FANOUT.min(self.suspects.len()) {
            let peer = self.random.index(self.suspects.len());
            let reports = self.suspects[peer].reports(at_ms(now_ms));
            self.datagram(now_ms, instance, reports);
        }
    }

    fn late_sends(&self) -> usize {
        let Some(third_ms) = self.crashes_ms.get(2) else {
            return 0;
        };
        let detected_ms = third_ms + DETECTION_MS;
        self.sends_ms.iter().filter(|ms| **ms > detected_ms).count()
    }
}

/// Simulates a fleet with several seeds and checks that the crashing content is quarantined in
/// time, and hardly any other.
fn check(instances: usize, targets: usize, seeds: u64, repeat_ms: u64) {
    for seed in 0..seeds {
        // Arrange
        let mut fleet = Fleet::new(seed, instances, targets);

        // Act
        fleet.simulate(repeat_ms, 700);

        // Assert
        let late = fleet.late_sends();
        let crashes = fleet.crashes_ms.len();
        let summary =
            format!("{instances} instances, seed {seed}: {late} late sends, {crashes} crashes");
        assert!(late <= LATE_SENDS_MAX, "{summary}");
        let (refused, broken) = (fleet.refused, fleet.broken);
        let summary = format!("{summary}, {refused} others refused of {broken}");
        assert!(
            refused * 1_000 <= broken * REFUSED_PER_MILLE_MAX,
            "{summary}"
        );
        println!("{summary}");
    }
}

#[test]
fn seven_instances_quarantine_a_crashing_content() {
    check(7, 18, 40, 130);
}

#[test]
fn seventy_three_instances_quarantine_a_crashing_content() {
    check(73, 60, 8, 130);
}

#[test]
fn three_hundred_instances_quarantine_a_crashing_content() {
    check(295, 240, 3, 60);
}

#[test]
fn a_crashing_content_sent_every_two_seconds_is_quarantined() {
    check(7, 18, 20, 2_000);
}
