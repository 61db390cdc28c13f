//! Simulation of fleets that must find a part of prompts that crashes targets, among the parts of
//! sound calls, while datagrams get lost and instances restart.

mod support;

use std::collections::BTreeMap;

use damaskstile_core::prelude::TargetIdentity;
use damaskstile_core::random::Random;
use damaskstile_requests::{Fingerprint, QuarantineChanges, SuspectReport, Suspects};
use support::at_ms;
use support::network::{DIGEST_MS, FANOUT, STEP_MS, arrives_ms, collectors, digest_recipients};

/// Crashes from which on the part must be known soon, and the time for that.
const CRASHES_MAX: usize = 5;
const DETECTION_MS: u64 = 3_000;
const LATE_SENDS_MAX: usize = 3;
/// Time in which a target reads a prompt, and in which it writes the answer.
const READING_MS: u64 = 400;
const WRITING_MS: u64 = 1_500;
const RESTART_MS: u64 = 2_500;
const SIMULATED_MS: u64 = 20_000;
/// When calls with the crash-inducing part begin.
const CRASHING_FROM_MS: u64 = 4_000;
/// First parts of sound calls; a few have most calls.
const FIRST_PARTS: u64 = 12;
const BAD_PART: u64 = 1_000_000;

#[derive(Debug, Clone)]
struct Call {
    parts: Vec<u64>,
    instance: usize,
    begins_at_ms: u64,
    ends_at_ms: u64,
    has_begun: bool,
    sends_left: u32,
}

impl Call {
    fn is_bad(&self) -> bool {
        self.parts.contains(&BAD_PART)
    }
}

struct Fleet {
    random: Random,
    suspects: Vec<Suspects>,
    digest_at_ms: Vec<u64>,
    datagrams: BTreeMap<u64, Vec<(usize, SuspectReport)>>,
    /// Incarnation and calls of each target, and from when on it accepts any.
    targets: Vec<(u64, u64, Vec<Call>)>,
    crashes_ms: Vec<u64>,
    bad_sends_ms: Vec<u64>,
    sessions: u64,
    sent: usize,
    refused: usize,
}

impl Fleet {
    fn new(seed: u64, instances: usize, targets: usize) -> Self {
        let mut random = Random::new(seed);
        Self {
            digest_at_ms: (0..instances).map(|_| random.below(DIGEST_MS)).collect(),
            random,
            suspects: vec![Suspects::default(); instances],
            datagrams: BTreeMap::new(),
            targets: vec![(1, 0, Vec::new()); targets],
            crashes_ms: Vec::new(),
            bad_sends_ms: Vec::new(),
            sessions: 0,
            sent: 0,
            refused: 0,
        }
    }

    fn datagram(&mut self, now_ms: u64, to: usize, report: SuspectReport) {
        if let Some(arrives_ms) = arrives_ms(&mut self.random, now_ms) {
            let arriving = self.datagrams.entry(arrives_ms).or_default();
            arriving.push((to, report));
        }
    }

    fn report(&mut self, now_ms: u64, from: usize, changes: &QuarantineChanges) {
        if !changes.quarantined.is_empty() {
            self.digest_at_ms[from] = now_ms;
        }
        let Some(suspect) = changes.changed else {
            return;
        };
        let Some(report) = self.suspects[from].report(at_ms(now_ms), &suspect) else {
            return;
        };
        for to in collectors(&suspect.to_string(), self.suspects.len()) {
            self.datagram(now_ms, to, report.clone());
        }
    }

    /// Sends a call to a target, unless its instance refuses it.
    fn send(&mut self, now_ms: u64, call: Call) {
        let suspects = &self.suspects[call.instance];
        let parts = call.parts.iter().copied();
        if suspects.quarantined_part(at_ms(now_ms), parts).is_some() {
            self.refused += usize::from(!call.is_bad());
            return;
        }
        let up = (0..self.targets.len()).filter(|target| self.targets[*target].1 <= now_ms);
        let up: Vec<usize> = up.collect();
        if up.is_empty() || call.sends_left == 0 {
            return;
        }
        if call.is_bad() {
            self.bad_sends_ms.push(now_ms);
        }
        let target = up[self.random.index(up.len())];
        let begins_at_ms = now_ms + READING_MS / 2 + self.random.below(READING_MS);
        self.targets[target].2.push(Call {
            begins_at_ms,
            ends_at_ms: begins_at_ms + WRITING_MS,
            has_begun: false,
            sends_left: call.sends_left - 1,
            ..call
        });
    }

    fn new_call(&mut self, parts: Vec<u64>) -> Call {
        Call {
            parts,
            instance: self.random.index(self.suspects.len()),
            begins_at_ms: 0,
            ends_at_ms: 0,
            has_begun: false,
            sends_left: 2,
        }
    }

    /// Sends a sound call: a few first parts have most calls, and a session has some.
    fn send_sound(&mut self, now_ms: u64) {
        self.sessions += u64::from(self.random.below(6) == 0);
        let first = self
            .random
            .below(FIRST_PARTS)
            .min(self.random.below(FIRST_PARTS));
        let session = self.sessions.saturating_sub(self.random.below(40));
        self.sent += 1;
        let call = self.new_call(vec![first, 100 + session]);
        self.send(now_ms, call);
    }

    fn crash(&mut self, now_ms: u64, target: usize) {
        let (incarnation, up_at_ms, calls) = &mut self.targets[target];
        let identity = TargetIdentity::new(&target.to_string(), Some(*incarnation));
        *incarnation += 1;
        *up_at_ms = now_ms + RESTART_MS;
        let calls = std::mem::take(calls);
        self.crashes_ms.push(now_ms);
        for call in &calls {
            for (position, part) in (0..).zip(&call.parts).filter(|_| !call.has_begun) {
                let suspects = &mut self.suspects[call.instance];
                let target = identity.clone();
                let changes = suspects.note_part_crash(at_ms(now_ms), *part, position, "a", target);
                self.report(now_ms, call.instance, &changes);
            }
        }
        for call in calls {
            self.send(now_ms, call);
        }
    }

    fn step(&mut self, now_ms: u64) {
        let later = self.datagrams.split_off(&(now_ms + 1));
        let arrived = std::mem::replace(&mut self.datagrams, later);
        for (to, report) in arrived.into_values().flatten() {
            let changes = self.suspects[to].merge_report(at_ms(now_ms), report);
            if !changes.quarantined.is_empty() {
                self.digest_at_ms[to] = now_ms;
            }
        }
        for target in 0..self.targets.len() {
            let calls = &mut self.targets[target].2;
            calls.retain(|call| call.ends_at_ms > now_ms);
            let is_due = |call: &&mut Call| !call.has_begun && call.begins_at_ms <= now_ms;
            if calls.iter_mut().filter(is_due).any(|call| call.is_bad()) {
                self.crash(now_ms, target);
                continue;
            }
            let begun: Vec<Call> = calls
                .iter_mut()
                .filter(is_due)
                .map(|call| {
                    call.has_begun = true;
                    call.clone()
                })
                .collect();
            for call in begun {
                for part in &call.parts {
                    let suspects = &mut self.suspects[call.instance];
                    let changes = suspects.note_sound_part(at_ms(now_ms), *part);
                    self.report(now_ms, call.instance, &changes);
                }
            }
        }
        for from in 0..self.suspects.len() {
            if self.digest_at_ms[from] > now_ms {
                continue;
            }
            self.digest_at_ms[from] = now_ms + DIGEST_MS;
            let reports = self.suspects[from].reports(at_ms(now_ms));
            for to in digest_recipients(&mut self.random, from, self.suspects.len()) {
                for report in &reports {
                    self.datagram(now_ms, to, report.clone());
                }
            }
        }
    }

    /// Simulates sound calls at an interval, and calls with the crash-inducing part at another one.
    fn simulate(&mut self, sound_ms: u64, bad_ms: u64, restart_ms: u64) {
        let steps = usize::try_from(STEP_MS).unwrap();
        let (mut sound_at, mut bad_at, mut restart_at) = (0, CRASHING_FROM_MS, restart_ms);
        for now_ms in (0..SIMULATED_MS).step_by(steps) {
            while sound_at <= now_ms {
                sound_at += sound_ms;
                self.send_sound(now_ms);
            }
            if bad_at <= now_ms {
                bad_at = now_ms + 1 + self.random.below(2 * bad_ms);
                let call = self.new_call(vec![0, BAD_PART]);
                self.send(now_ms, call);
            }
            if restart_at <= now_ms {
                restart_at += restart_ms;
                let instance = self.random.index(self.suspects.len());
                self.suspects[instance] = Suspects::default();
                for _ in 0..FANOUT.min(self.suspects.len()) {
                    let peer = self.random.index(self.suspects.len());
                    for report in self.suspects[peer].reports(at_ms(now_ms)) {
                        self.datagram(now_ms, instance, report);
                    }
                }
            }
            self.step(now_ms);
        }
    }

    fn late_sends(&self) -> usize {
        let known_ms = self
            .crashes_ms
            .get(CRASHES_MAX - 1)
            .map(|ms| ms + DETECTION_MS);
        let sends = self.bad_sends_ms.iter();
        known_ms.map_or(0, |known_ms| sends.filter(|ms| **ms > known_ms).count())
    }
}

/// Checks that the part is found in time and that hardly any sound call is refused.
fn check(instances: usize, targets: usize, seeds: u64, sound_ms: u64) {
    for seed in 0..seeds {
        // Arrange
        let mut fleet = Fleet::new(seed, instances, targets);

        // Act
        fleet.simulate(sound_ms, 150, 700);

        // Assert
        let (late, crashes) = (fleet.late_sends(), fleet.crashes_ms.len());
        let (sent, refused) = (fleet.sent, fleet.refused);
        let summary = format!(
            "{instances} instances, seed {seed}: {late} late sends, {crashes} crashes, \
             {refused} of {sent} sound calls refused"
        );
        println!("{summary}");
        assert!(late <= LATE_SENDS_MAX, "{summary}");
        assert!(refused * 50 <= sent, "{summary}");
        let bad = Fingerprint::of_part(BAD_PART);
        let known = fleet.suspects.iter().filter(|suspects| {
            let found = suspects.quarantined_part(at_ms(SIMULATED_MS), [BAD_PART].into_iter());
            found.is_some_and(|(part, _)| part == bad)
        });
        // An instance that has just restarted may not have heard of it yet.
        assert!(known.count() + 1 >= instances, "{summary}");
    }
}

#[test]
fn seven_instances_find_a_crash_inducing_part() {
    // Guards against one target after the other that crashes, or sound calls that are refused, since
    // each instance sees only a part of the crashes.
    check(7, 18, 40, 10);
}

#[test]
fn few_calls_do_not_hide_a_crash_inducing_part() {
    // Guards against a first part that takes the blame because hardly any sound call clears it.
    check(7, 9, 20, 60);
}

#[test]
fn eighty_instances_find_a_crash_inducing_part() {
    // Guards against crashes whose reports do not meet at the same instances.
    check(81, 140, 6, 10);
}

#[test]
fn a_thousand_instances_find_a_crash_inducing_part() {
    // Guards against a verdict that reaches too few instances of the whole fleet.
    check(986, 400, 1, 10);
}
