//! Discovery and roles in fleets of hundreds of instances. There is no network: each message
//! arrives one step after it was sent.

use std::net::SocketAddr;
use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_core::random::Random;
use damaskstile_escrow::EscrowOptions;
use damaskstile_gateway::admission::AdmissionOptions;
use damaskstile_gateway::caller_resources::CallerLimits;
use damaskstile_gateway::cold_options::ColdOptions;
use damaskstile_gateway::copy_options::CopyOptions;
use damaskstile_gateway::follow::{DRAWS, list_pause};
use damaskstile_gateway::member::Member;
use damaskstile_gateway::options::GatewayOptions;
use damaskstile_gateway::peers::{Digest, PeerReport};
use damaskstile_gateway::rotation_options::RotationOptions;
use damaskstile_gateway::state::State;
use damaskstile_gateway::wanted::Wanted;
use damaskstile_targets::TargetTableOptions;

/// Sizes of the compared fleets: what holds for the first must hold for the second.
const FLEETS: [usize; 2] = [250, 1_000];
const DATA_CENTRES: usize = 5;
/// Number of seeds, which all others know at their start.
const SEEDS: usize = 3;
/// Number of instances, of each hundred, with more than a small part of a core.
const LARGE: usize = 10;
/// Duration of a step, in which a message arrives.
const STEP_MS: u64 = 100;
/// Steps between digests of an instance, and the number of peers that a digest is sent to.
const DIGEST_STEPS: u64 = 4;
const FANOUT: usize = 10;
/// Steps until a pull begins.
const PULL_STEPS: u64 = 2;
/// Number of peers whose clocks are needed to know the fleet clock, and the number of steps within
/// which their digests must arrive.
const CLOCKS: usize = 12;
const CLOCK_STEPS: u64 = 20;
/// Size of one member in an answer, and capacity of a slow link in a step, both in bytes.
const REPORT_BYTES: usize = 75;
const LINK_BYTES: usize = 250_000;

fn name(index: usize) -> String {
    format!("front-{index:04}")
}

fn address(index: usize) -> SocketAddr {
    let (high, low) = (index / 200, index % 200 + 1);
    format!("10.0.{high}.{low}:7200").parse().unwrap()
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("not an IPv4 address");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 200 + usize::from(low) - 1
}

fn data_centre(index: usize) -> String {
    format!("c{}", index % DATA_CENTRES)
}

fn capacity_percent(index: usize) -> u64 {
    if index % 100 < LARGE { 100 } else { 12 }
}

fn state(index: usize) -> State {
    let identity = Identity::new(&name(index), 1, &data_centre(index));
    let options = GatewayOptions {
        identity,
        capacity_percent: capacity_percent(index),
        link_bytes_per_s: 2_500_000,
        callers_address: address(index),
        readiness_address: address(index),
        metrics_address: address(index),
        peers_address: address(index),
        seeds: (0..SEEDS).map(address).collect(),
        is_first_start: true,
        stop_limit: Duration::from_secs(8),
        retry_percent: 20,
        extra_retries_per_s: 5,
        escrow: EscrowOptions::default(),
        target_table: TargetTableOptions::default(),
        rotation: RotationOptions::default(),
        cold: ColdOptions::default(),
        admission: AdmissionOptions::default(),
        copies: CopyOptions::default(),
        callers: CallerLimits::default(),
    };
    State::new(&options, Duration::ZERO)
}

fn digest(state: &State, index: usize, now: Duration) -> Digest {
    let store_age = state.contact.age(now);
    Digest {
        known_instances: state.known_instances(),
        discovered_instances: state.discovered_instances(),
        is_watcher: state.is_watcher(now),
        store_age_ms: store_age.map_or(u64::MAX, damaskstile_core::time::unix_ms),
        capacity_percent: capacity_percent(index),
        data_centre: data_centre(index),
        ..Digest::default()
    }
}

fn receive(state: &mut State, now: Duration, from: usize, digest: &Digest) {
    let member = Member::new(1, address(from), now, digest);
    state.members.insert(name(from), member);
}

/// A fleet whose instances start at the same time and know only the seeds.
struct Fleet {
    states: Vec<State>,
    pulls_at: BTreeMap<usize, u64>,
    random: Random,
}

impl Fleet {
    fn new(instances: usize) -> Self {
        Self {
            states: (0..instances).map(state).collect(),
            pulls_at: BTreeMap::new(),
            random: Random::new(5),
        }
    }

    fn step(&mut self, step: u64) {
        let now = Duration::from_millis(step * STEP_MS);
        let mut messages = Vec::new();
        for index in 0..self.states.len() {
            if step % DIGEST_STEPS == index as u64 % DIGEST_STEPS {
                let message = digest(&self.states[index], index, now);
                messages.extend(
                    self.peers_of(index)
                        .into_iter()
                        .map(|to| (index, to, message.clone())),
                );
            }
        }
        for (from, to, message) in messages {
            receive(&mut self.states[to], now, from, &message);
            // An instance that knows fewer than half of the instances gets a digest in return.
            let known = self.states[to].known_instances();
            if message.known_instances * 2 < known {
                let answer = digest(&self.states[to], to, now);
                receive(&mut self.states[from], now, to, &answer);
            }
        }
        for (index, state) in self.states.iter().enumerate() {
            if state.lacks_members() {
                self.pulls_at.entry(index).or_insert(step + PULL_STEPS);
            }
        }
        self.pull(step, now);
    }

    fn peers_of(&mut self, index: usize) -> Vec<usize> {
        let members = self.states[index].members.values();
        let mut peers: Vec<usize> = members.map(|member| index_of(member.address)).collect();
        if peers.is_empty() {
            peers = (0..SEEDS).filter(|seed| *seed != index).collect();
        }
        while peers.len() > FANOUT {
            let left_out = self.random.index(peers.len());
            peers.swap_remove(left_out);
        }
        peers
    }

    /// Answers the pulls that are due, as far as the links of the sources have capacity.
    fn pull(&mut self, step: u64, now: Duration) {
        let mut sent: BTreeMap<usize, usize> = BTreeMap::new();
        let due = self.pulls_at.iter().filter(|(_, at)| **at <= step);
        let due: Vec<usize> = due.map(|(index, _)| *index).collect();
        for index in due {
            let Some(source) = self.states[index].source(now, Wanted::Members) else {
                self.pulls_at.remove(&index);
                continue;
            };
            let source = index_of(source);
            let reports: Vec<PeerReport> = {
                let members = self.states[source].members.iter();
                members
                    .filter_map(|(name, member)| member.report(now, name))
                    .collect()
            };
            let sent = sent.entry(source).or_default();
            *sent += reports.len() * REPORT_BYTES;
            if *sent > LINK_BYTES {
                continue;
            }
            let state = &mut self.states[index];
            for report in reports {
                if let Some(member) = Member::from_report(now, &report) {
                    state.members.entry(report.instance).or_insert(member);
                }
            }
            self.pulls_at.remove(&index);
        }
    }

    fn have_discovered(&self) -> bool {
        self.states.iter().all(|state| !state.lacks_members())
    }

    /// Returns the smallest number of peers from which an instance received a digest recently
    /// enough to know their clocks.
    fn least_heard(&self, step: u64) -> usize {
        let now = Duration::from_millis(step * STEP_MS);
        let is_recent = |member: &&Member| {
            !member.is_reported && now.saturating_sub(member.received_at) < Duration::from_secs(2)
        };
        let heard = self.states.iter();
        let heard = heard.map(|state| state.members.values().filter(is_recent).count());
        heard.min().unwrap_or_default()
    }

    /// Returns the smallest number of instances that any instance knows.
    fn least_known(&self) -> usize {
        let known = self.states.iter().map(|state| state.members.len() + 1);
        known.min().unwrap_or_default()
    }
}

/// Returns the milliseconds until all instances of a fleet know most of the others.
fn discovery_ms(instances: usize) -> u64 {
    let mut fleet = Fleet::new(instances);
    for step in 0..200 {
        fleet.step(step);
        if step > 0 && fleet.have_discovered() {
            assert!(fleet.least_known() * 4 >= instances * 3);
            for after in 1..=CLOCK_STEPS {
                fleet.step(step + after);
            }
            // Without the fleet clock all grants of machines that lose power count as spent.
            assert!(fleet.least_heard(step + CLOCK_STEPS) >= CLOCKS);
            return step * STEP_MS;
        }
    }
    panic!(
        "an instance knows only {} of {instances}",
        fleet.least_known()
    );
}

#[test]
fn instances_of_a_starting_fleet_discover_each_other_in_seconds() {
    // Guards against instances that discover the others one by one, which takes longer the more
    // there are, or that all read the ledger for it, which fills the store's link.

    // Act
    let took_ms = FLEETS.map(discovery_ms);

    // Assert: callers arrive seconds after a start, and a larger fleet takes one more round.
    assert!(took_ms[1] <= 3_000, "{took_ms:?}");
    assert!(took_ms[1] <= took_ms[0] + 1_500, "{took_ms:?}");
}

/// Returns how many instances list everything at the end of an outage that affected all of them,
/// and the time in milliseconds until the first of them have notified all others.
fn lists_after_outage(instances: usize) -> (usize, u64) {
    const NOTIFY_DELAY_MS: u64 = 150;
    const FINE_STEP_MS: u64 = 10;
    let mut states: Vec<State> = (0..instances).map(state).collect();
    let received_at = Duration::from_secs(9);
    let lost = Digest {
        known_instances: instances as u64,
        store_age_ms: 8_000,
        ..Digest::default()
    };
    for (index, state) in states.iter_mut().enumerate() {
        state.contact.answered(Duration::from_secs(1));
        state.contact.failed(Duration::from_secs(2));
        for other in (0..instances).filter(|other| *other != index) {
            let digest = Digest {
                capacity_percent: capacity_percent(other),
                data_centre: data_centre(other),
                ..lost.clone()
            };
            receive(state, received_at, other, &digest);
        }
        state.contact.answered(Duration::from_secs(10));
    }
    let mut listed: BTreeMap<usize, u64> = BTreeMap::new();
    for ms in (10_000..16_000).step_by(usize::try_from(FINE_STEP_MS).unwrap()) {
        let now = Duration::from_millis(ms);
        let notifying: Vec<usize> = {
            let due = listed.iter().filter(|(_, at)| **at + NOTIFY_DELAY_MS == ms);
            due.map(|(index, _)| *index).collect()
        };
        for from in notifying {
            let digest = Digest {
                is_watcher: true,
                store_age_ms: 0,
                capacity_percent: capacity_percent(from),
                ..lost.clone()
            };
            for (index, state) in states.iter_mut().enumerate() {
                if index != from {
                    receive(state, now, from, &digest);
                }
            }
        }
        for (index, state) in states.iter().enumerate() {
            if !listed.contains_key(&index) && state.must_watch(now) {
                listed.insert(index, ms);
            }
        }
        if ms >= 10_000 + 2 * NOTIFY_DELAY_MS {
            return (listed.len(), ms - 10_000);
        }
    }
    unreachable!("the loop ends with its answer");
}

#[test]
fn few_instances_list_everything_after_an_outage_at_any_fleet_size() {
    // Guards against all instances of a fleet listing everything at the end of an outage because no
    // watcher is known yet. The store's link is full then, and all lose contact again.

    // Act
    let lists = FLEETS.map(lists_after_outage);

    // Assert: some take the role before the first one's digest has arrived.
    for (count, _) in lists {
        assert!((1..=20).contains(&count), "{lists:?}");
    }
}

#[test]
fn the_next_instance_watches_in_time_if_better_ranked_ones_are_silent() {
    // Guards against instances that wait for others that have ended.

    // Arrange: the last instance has received digests from all others, and then from none.
    let instances = FLEETS[1];
    let mut last = state(instances - 1);
    for other in 0..instances - 1 {
        let digest = Digest {
            known_instances: instances as u64,
            is_watcher: other < SEEDS,
            store_age_ms: 0,
            capacity_percent: capacity_percent(other),
            ..Digest::default()
        };
        receive(&mut last, Duration::from_secs(1), other, &digest);
    }
    last.contact.answered(Duration::from_secs(1));

    // Act
    let is_watching = |ms| last.must_watch(Duration::from_millis(ms));

    // Assert: within two thirds of the shortest time limit for a change to take effect.
    assert!(!is_watching(2_500));
    assert!(is_watching(4_400));
}

#[test]
fn instances_that_started_together_do_not_list_together() {
    // Guards against a whole fleet listing everything twenty seconds after its start because each
    // instance computed its pause while it knew only a few others.

    // Arrange: pauses as computed once the number of instances is known.
    let mut random = Random::new(9);

    // Act
    let lists = FLEETS.map(|instances| {
        let mut lists: BTreeMap<u64, usize> = BTreeMap::new();
        for _ in 0..instances {
            let pause = list_pause(instances as u64, random.below(DRAWS));
            *lists.entry(pause.as_secs()).or_default() += 1;
        }
        lists.into_values().max().unwrap_or_default()
    });

    // Assert: one a second on average.
    assert!(lists.iter().all(|most| *most <= 8), "{lists:?}");
}
