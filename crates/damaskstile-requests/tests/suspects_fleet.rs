//! A simulated fleet that finds a content which ends its targets: digests that get lost, instances
//! that start anew, calls of others beside it.

mod support;

use std::collections::BTreeMap;

use damaskstile_core::prelude::*;
use damaskstile_core::random::{Random, stable_hash};
use damaskstile_requests::{SuspectWord, Suspects};
use support::{ACCOUNT, at_ms, content, fingerprint};

/// Step of the simulation.
const STEP_MS: u64 = 10;
/// Time between two digests of an instance without news.
const DIGEST_MS: u64 = 400;
/// Peers that a digest goes to in a large fleet.
const FANOUT: usize = 10;
/// Instances up to which a digest goes to all.
const SMALL_FLEET: usize = 16;
/// Instances of a large fleet that collect the ends under one content.
const COLLECTORS: usize = 4;
/// Datagrams that get lost, of a hundred.
const LOST_PERCENT: u64 = 10;
/// Time that a datagram takes at most.
const TRANSIT_MS: u64 = 30;
/// Time after the third end in which the instances come to know.
const KNOWN_WITHIN_MS: u64 = 3_000;
/// Sends that reach targets after that at most.
const LATE_SENDS_MAX: usize = 3;
/// Time from a send to the end of its target.
const RUNS_FOR_MS: u64 = 120;
/// Time after which a target is back.
const BACK_AFTER_MS: u64 = 2_000;
/// Sends of one attempt at most.
const ATTEMPT_SENDS: usize = 2;
/// Calls of others that run at a target.
const BESIDE: usize = 30;
/// Longest time that one of them runs.
const BESIDE_MS_MAX: u64 = 4_000;
/// Sends of one of them at most, over two attempts of its caller.
const BESIDE_SENDS: usize = 4;
/// Calls of others that may be refused, of a thousand that were broken off.
const REFUSED_PER_MILLE_MAX: usize = 10;
/// Length of a run.
const UNTIL_MS: u64 = 30_000;

/// A send of the deadly call that is under way.
#[derive(Debug, Clone)]
struct Sent {
    instance: usize,
    target: usize,
    ends_at_ms: u64,
    sends_left: usize,
}

/// A call of another content that runs at a target.
#[derive(Debug, Clone)]
struct Beside {
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
    /// Digests under way, by when they arrive.
    datagrams: BTreeMap<u64, Vec<(usize, Vec<SuspectWord>)>>,
    /// Incarnation of each target, and when it takes calls.
    targets: Vec<(u64, u64)>,
    sent: Vec<Sent>,
    ends_ms: Vec<u64>,
    /// Sends by instances that have not started lately.
    sends_ms: Vec<u64>,
    /// Calls of others that run at each target.
    beside: Vec<Vec<Beside>>,
    /// Calls of others so far, those that were broken off, and those that were refused.
    others: u64,
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
            sent: Vec::new(),
            ends_ms: Vec::new(),
            sends_ms: Vec::new(),
            beside: vec![Vec::new(); targets],
            others: 0,
            broken: 0,
            refused: 0,
        }
    }

    fn tell(&mut self, now_ms: u64, from: usize) {
        self.digest_at_ms[from] = now_ms + DIGEST_MS;
        let words = self.suspects[from].told(at_ms(now_ms));
        if words.is_empty() {
            return;
        }
        let mut peers: Vec<usize> = (0..self.suspects.len()).filter(|to| *to != from).collect();
        while self.suspects.len() > SMALL_FLEET && peers.len() > FANOUT {
            peers.swap_remove(self.random.index(peers.len()));
        }
        for to in peers {
            self.datagram(now_ms, to, words.clone());
        }
    }

    fn datagram(&mut self, now_ms: u64, to: usize, words: Vec<SuspectWord>) {
        if self.random.below(100) >= LOST_PERCENT {
            let arrives_ms = now_ms + STEP_MS + self.random.below(TRANSIT_MS);
            self.datagrams
                .entry(arrives_ms)
                .or_default()
                .push((to, words));
        }
    }

    /// Tells those who collect the ends under a content: all of a small fleet.
    fn tell_collectors(&mut self, now_ms: u64, from: usize, body: &str) {
        let name = fingerprint(body);
        let Some(word) = self.suspects[from].word(at_ms(now_ms), &name) else {
            return;
        };
        let mut peers: Vec<usize> = (0..self.suspects.len()).collect();
        if peers.len() > SMALL_FLEET {
            let name = name.to_string();
            peers.sort_by_key(|peer| stable_hash(&[&name, &peer.to_string()]));
            peers.truncate(COLLECTORS);
        }
        for to in peers {
            self.datagram(now_ms, to, vec![word.clone()]);
        }
    }

    fn send(&mut self, now_ms: u64, instance: usize, sends_left: usize) {
        let is_barred = self.suspects[instance].barred_for(at_ms(now_ms), &content("deadly"));
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].1 <= now_ms)
            .collect();
        if is_barred.is_some() || up.is_empty() || sends_left == 0 {
            return;
        }
        let target = up[self.random.index(up.len())];
        let started_ms = self.started_ms[instance];
        if started_ms == 0 || now_ms > started_ms + KNOWN_WITHIN_MS {
            self.sends_ms.push(now_ms);
        }
        self.sent.push(Sent {
            instance,
            target,
            ends_at_ms: now_ms + RUNS_FOR_MS,
            sends_left: sends_left - 1,
        });
    }

    fn end_target(&mut self, now_ms: u64, sent: &Sent) {
        let (incarnation, up_at_ms) = self.targets[sent.target];
        if up_at_ms > now_ms {
            return;
        }
        self.targets[sent.target] = (incarnation + 1, now_ms + BACK_AFTER_MS);
        self.ends_ms.push(now_ms);
        let name = sent.target.to_string();
        let identity = TargetIdentity::new(&name, Some(incarnation));
        for call in std::mem::take(&mut self.beside[sent.target]) {
            self.broken += 1;
            let instance = self.random.index(self.suspects.len());
            self.note(now_ms, instance, &call.body, &identity);
            self.send_again(now_ms, call);
        }
        self.note(now_ms, sent.instance, "deadly", &identity);
    }

    fn note(&mut self, now_ms: u64, instance: usize, body: &str, target: &TargetIdentity) {
        let suspects = &mut self.suspects[instance];
        let name = fingerprint(body);
        let verdicts = suspects.note_end(at_ms(now_ms), name, ACCOUNT, target.clone());
        if !verdicts.barred.is_empty() {
            self.digest_at_ms[instance] = now_ms;
        }
        self.tell_collectors(now_ms, instance, body);
    }

    /// Sends a call of another content that was broken off once more.
    fn send_again(&mut self, now_ms: u64, call: Beside) {
        let instance = self.random.index(self.suspects.len());
        let suspects = &self.suspects[instance];
        if suspects
            .barred_for(at_ms(now_ms), &content(&call.body))
            .is_some()
        {
            self.refused += 1;
            return;
        }
        let target = self.random.index(self.targets.len());
        if call.sends_left > 0 && self.targets[target].1 <= now_ms {
            self.beside[target].push(Beside {
                ends_at_ms: now_ms + self.random.below(BESIDE_MS_MAX),
                sends_left: call.sends_left - 1,
                ..call
            });
        }
    }

    /// Ends the calls of others that are over, and has new ones come.
    fn go_on_beside(&mut self, now_ms: u64) {
        for target in 0..self.targets.len() {
            let calls = std::mem::take(&mut self.beside[target]);
            let (done, going): (Vec<_>, Vec<_>) = calls
                .into_iter()
                .partition(|call| call.ends_at_ms <= now_ms);
            self.beside[target] = going;
            for call in done {
                let instance = self.random.index(self.suspects.len());
                let suspects = &mut self.suspects[instance];
                let _ = suspects.note_success(at_ms(now_ms), &content(&call.body));
                self.tell_collectors(now_ms, instance, &call.body);
            }
            if self.targets[target].1 <= now_ms && self.beside[target].len() < BESIDE {
                self.others += 1;
                self.beside[target].push(Beside {
                    body: format!("other {}", self.others),
                    ends_at_ms: now_ms + self.random.below(BESIDE_MS_MAX),
                    sends_left: BESIDE_SENDS - 1,
                });
            }
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = at_ms(now_ms);
        let later = self.datagrams.split_off(&(now_ms + 1));
        for (to, words) in std::mem::replace(&mut self.datagrams, later)
            .into_values()
            .flatten()
        {
            for word in words {
                let verdicts = self.suspects[to].hear(now, word);
                if !verdicts.barred.is_empty() {
                    self.digest_at_ms[to] = now_ms;
                }
            }
        }
        let (ended, sent): (Vec<_>, Vec<_>) = std::mem::take(&mut self.sent)
            .into_iter()
            .partition(|sent| sent.ends_at_ms <= now_ms);
        self.sent = sent;
        for sent in ended {
            self.end_target(now_ms, &sent);
            self.send(now_ms, sent.instance, sent.sends_left);
        }
        self.go_on_beside(now_ms);
        for instance in 0..self.suspects.len() {
            if self.digest_at_ms[instance] <= now_ms {
                self.tell(now_ms, instance);
            }
        }
    }

    /// Plays a run in which the deadly call is repeated; every now and then an instance starts anew.
    fn play(&mut self, repeat_ms: u64, restart_ms: u64) {
        let (mut repeat_at_ms, mut restart_at_ms) = (0, restart_ms);
        for now_ms in (0..UNTIL_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            if now_ms >= repeat_at_ms {
                repeat_at_ms = now_ms + 1 + self.random.below(2 * repeat_ms);
                let instance = self.random.index(self.suspects.len());
                self.send(now_ms, instance, ATTEMPT_SENDS);
            }
            if now_ms >= restart_at_ms {
                restart_at_ms += restart_ms;
                let instance = self.random.index(self.suspects.len());
                self.restart(now_ms, instance);
            }
            self.step(now_ms);
        }
    }

    /// Starts an instance anew. Peers that hear of it tell it what they know.
    fn restart(&mut self, now_ms: u64, instance: usize) {
        self.suspects[instance] = Suspects::default();
        self.started_ms[instance] = now_ms;
        for _ in 0..FANOUT.min(self.suspects.len()) {
            let peer = self.random.index(self.suspects.len());
            let words = self.suspects[peer].told(at_ms(now_ms));
            self.datagram(now_ms, instance, words);
        }
    }

    fn late_sends(&self) -> usize {
        let Some(third_ms) = self.ends_ms.get(2) else {
            return 0;
        };
        let known_ms = third_ms + KNOWN_WITHIN_MS;
        self.sends_ms.iter().filter(|ms| **ms > known_ms).count()
    }
}

/// Plays some seeds of a fleet and checks that the deadly content, and no other, is found.
fn check(instances: usize, targets: usize, seeds: u64, repeat_ms: u64) {
    for seed in 0..seeds {
        // Arrange
        let mut fleet = Fleet::new(seed, instances, targets);

        // Act
        fleet.play(repeat_ms, 700);

        // Assert
        let late = fleet.late_sends();
        let ends = fleet.ends_ms.len();
        let told = format!("{instances} instances, seed {seed}: {late} late sends, {ends} ends");
        assert!(late <= LATE_SENDS_MAX, "{told}");
        let (refused, broken) = (fleet.refused, fleet.broken);
        let told = format!("{told}, {refused} others refused of {broken}");
        assert!(refused * 1_000 <= broken * REFUSED_PER_MILLE_MAX, "{told}");
        println!("{told}");
    }
}

#[test]
fn seven_instances_find_what_ends_their_targets() {
    check(7, 18, 40, 130);
}

#[test]
fn seventy_three_instances_find_what_ends_their_targets() {
    check(73, 60, 8, 130);
}

#[test]
fn three_hundred_instances_find_what_ends_their_targets() {
    check(295, 240, 3, 60);
}

#[test]
fn what_comes_every_other_second_is_found_too() {
    check(7, 18, 20, 2_000);
}
