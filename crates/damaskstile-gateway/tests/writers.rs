//! Selection of the instances of a large fleet that write to the ledger and watch the store for the
//! others.

use std::net::SocketAddr;
use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_escrow::EscrowOptions;
use damaskstile_gateway::admission::AdmissionOptions;
use damaskstile_gateway::caller_resources::CallerLimits;
use damaskstile_gateway::cold_options::ColdOptions;
use damaskstile_gateway::copy_options::CopyOptions;
use damaskstile_gateway::member::Member;
use damaskstile_gateway::options::GatewayOptions;
use damaskstile_gateway::peers::Digest;
use damaskstile_gateway::rotation_options::RotationOptions;
use damaskstile_gateway::state::State;
use damaskstile_targets::TargetTableOptions;

/// Number of instances of a grown deployment, and the number of those with more than a small part
/// of a core.
const INSTANCES: usize = 73;
const LARGE: usize = 6;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{}:7200", index + 1).parse().unwrap()
}

fn name(index: usize) -> String {
    format!("i{index:02}")
}

fn capacity_percent(index: usize) -> u64 {
    if index < LARGE { 50 } else { 12 }
}

/// Makes the state of an instance that the store answered at time zero.
fn state(index: usize) -> State {
    let options = GatewayOptions {
        identity: Identity::new(&name(index), 1, "north"),
        capacity_percent: capacity_percent(index),
        link_bytes_per_s: 1_250_000,
        callers_address: address(index),
        readiness_address: address(index),
        metrics_address: address(index),
        peers_address: address(index),
        seeds: Vec::new(),
        is_first_start: false,
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
    let mut state = State::new(&options, Duration::ZERO);
    state.contact.answered(at(0));
    state
}

/// Processes a peer's digest that states the age of the store's last answer.
fn receive(state: &mut State, ms: u64, index: usize, store_age_ms: u64, known_instances: u64) {
    let digest = Digest {
        store_age_ms,
        known_instances,
        capacity_percent: capacity_percent(index),
        ..Digest::default()
    };
    let member = Member::new(1, address(index), at(ms), &digest);
    state.members.insert(name(index), member);
}

fn receive_all(state: &mut State, own: usize, ms: u64) {
    for index in (0..INSTANCES).filter(|index| *index != own) {
        receive(state, ms, index, 100, 1);
    }
}

fn writer_of(state: &State, ms: u64) -> Option<String> {
    state.writer(at(ms)).map(|(name, _)| name.clone())
}

#[test]
fn all_instances_agree_on_one_writer_with_enough_processor_time() {
    // Guards against writes of a large ledger that take tens of milliseconds while calls wait for
    // tokens, because the instance that writes for 72 others has an eighth of a core and a slow
    // link.

    // Arrange
    let mut states: Vec<State> = (0..INSTANCES).map(state).collect();
    for (index, state) in states.iter_mut().enumerate() {
        receive_all(state, index, 400);
    }

    // Act
    let writers: BTreeSet<String> = states
        .iter()
        .enumerate()
        .map(|(index, state)| writer_of(state, 500).unwrap_or_else(|| name(index)))
        .collect();
    let watchers = states.iter().filter(|state| state.is_watcher(at(500)));

    // Assert
    assert_eq!(writers.len(), 1);
    assert!((0..LARGE).any(|index| writers.contains(&name(index))));
    assert_eq!(watchers.count(), 3);
}

#[test]
fn another_instance_takes_over_if_the_writer_loses_the_store() {
    // Arrange
    let mut state = state(INSTANCES - 1);
    receive_all(&mut state, INSTANCES - 1, 400);
    let first = writer_of(&state, 500).unwrap();
    let first_index: usize = first[1..].parse().unwrap();

    // Act: it still reaches its peers, but the store does not answer it.
    receive(&mut state, 2_000, first_index, 2_000, 1);
    for index in (0..INSTANCES - 1).filter(|index| *index != first_index) {
        receive(&mut state, 2_000, index, 100, 1);
    }

    // Assert
    let second = writer_of(&state, 2_100).unwrap();
    assert_ne!(second, first);
    assert_eq!(writer_of(&state, 9_000), None);
}

#[test]
fn an_instance_learns_from_a_seed_that_the_fleet_is_large() {
    // Guards against 546 refused writes to the ledger in the first two seconds. All instances start
    // at once and know three seeds each, so without reports of the number of instances each takes
    // the fleet for a small one, in which all write.

    // Arrange
    let mut state = state(INSTANCES - 1);

    // Act
    receive(&mut state, 400, 0, 100, 1);
    let before = writer_of(&state, 500);
    receive(&mut state, 800, 0, 100, 40);

    // Assert
    assert_eq!(before, None);
    assert_eq!(writer_of(&state, 900), Some(name(0)));
}

#[test]
fn an_instance_detects_that_most_of_its_peers_are_stopping() {
    // Guards against callers that retry at once while most instances stop together, are refused
    // again and give up, because the refusal did not depend on what peers report.

    // Arrange
    let mut state = state(0);
    let mut receive_stopping = |index: usize, ms: u64, is_stopping: bool| {
        let digest = Digest {
            is_stopping,
            ..Digest::default()
        };
        let member = Member::new(1, address(index), at(ms), &digest);
        state.members.insert(name(index), member);
        state.are_most_peers_stopping(at(ms))
    };

    // Act
    let results = [
        receive_stopping(1, 100, false),
        receive_stopping(2, 200, true),
        receive_stopping(3, 300, true),
        receive_stopping(4, 400, false),
        receive_stopping(5, 5_000, true),
    ];

    // Assert: half is not most, and old digests do not count.
    assert_eq!(results, [false, false, true, false, true]);
}

/// Cuts an instance off from the store.
fn lose_store(state: &mut State, ms: u64) {
    state.contact.failed(at(ms));
}

#[test]
fn at_a_start_all_instances_learn_the_best_writer_from_a_seed() {
    // Guards against 1,500 refused writes to the ledger within two seconds of a start of 295
    // instances. All start at once and know three seeds; without reports of the best writer each
    // instance takes the best seed, or itself, for the writer until the best instance's digest
    // arrives seconds later.

    // Arrange: the seed has digests from all, the other instance only from the seed.
    let mut seed = state(LARGE);
    receive_all(&mut seed, LARGE, 400);
    let mut other = state(INSTANCES - 1);
    let known = u64::try_from(INSTANCES).unwrap();
    receive(&mut other, 400, LARGE, 100, known);
    let best = writer_of(&seed, 500);
    assert_ne!(writer_of(&other, 500), best);

    // Act
    let report = seed.writer_report(at(500)).unwrap();
    other.apply_peer_report(at(500), &report);

    // Assert
    assert_eq!(writer_of(&other, 500), best);
}

#[test]
fn forwarded_reports_of_a_writer_age_and_do_not_keep_a_dead_one() {
    // Guards against seconds without a writer. The writer dies, and two instances keep reporting to
    // each other that it is in touch with the store, because a report counted as new on arrival.

    // Arrange
    let mut states = [state(INSTANCES - 1), state(INSTANCES - 2)];
    for state in &mut states {
        receive(state, 0, 0, 0, 100);
    }

    // Act
    for ms in (400..4_000).step_by(400) {
        let reports = states.each_ref().map(|state| state.writer_report(at(ms)));
        for (state, report) in states.iter_mut().zip(reports.iter().rev()) {
            if let Some(report) = report {
                state.apply_peer_report(at(ms), report);
            }
        }
    }

    // Assert
    for state in &states {
        assert_eq!(writer_of(state, 1_700), Some(name(0)));
        assert_eq!(writer_of(state, 1_900), None);
    }
}

#[test]
fn in_an_outage_few_instances_probe_the_store_and_no_other_calls_it() {
    // Guards against 2,600 calls to the store in an outage of eight seconds. All instances are cut
    // off at once, so if only instances in touch with the store count as better-ranked, none
    // outranks another and all list everything every 1.8 s.

    // Arrange
    let mut states: Vec<State> = (0..INSTANCES).map(state).collect();
    for (index, state) in states.iter_mut().enumerate() {
        for other in (0..INSTANCES).filter(|other| *other != index) {
            receive(state, 2_000, other, 3_000, 1);
        }
        lose_store(state, 2_000);
    }

    // Act
    let probers = states
        .iter()
        .filter(|state| state.is_outage_prober(at(2_500)));
    let callers = states
        .iter()
        .filter(|state| state.may_call_store(at(2_500)));

    // Assert: an instance without recent digests probes for itself.
    assert_eq!((probers.count(), callers.count()), (3, 0));
    assert!(states.iter().all(|state| state.is_outage_prober(at(7_000))));
}

#[test]
fn one_instance_lends_to_itself_and_the_others_ask_it() {
    // Arrange
    let mut states: Vec<State> = (0..INSTANCES).map(state).collect();
    let prepaid = BTreeMap::from([("a".to_owned(), 1_000_000)]);
    for (index, state) in states.iter_mut().enumerate() {
        state.holder.set_prepaid(1, prepaid.clone());
        for other in (0..INSTANCES).filter(|other| *other != index) {
            let digest = Digest {
                data_centre: "north".to_owned(),
                known_instances: u64::try_from(INSTANCES).unwrap(),
                ..Digest::default()
            };
            let member = Member::new(1, address(other), at(400), &digest);
            state.members.insert(name(other), member);
        }
    }

    // Act
    let mut asked = states.iter_mut().map(|state| state.lenders(at(500), "a"));
    let all: Vec<_> = asked.by_ref().collect();

    // Assert: one lends, the others ask it.
    let asking = all.iter().filter(|lenders| !lenders.is_own_first);
    let names: BTreeSet<_> = asking.map(|lenders| &lenders.others[0].instance).collect();
    assert_eq!(names.len(), 1);
    assert_eq!(all.iter().filter(|lenders| lenders.is_own_first).count(), 1);
}
