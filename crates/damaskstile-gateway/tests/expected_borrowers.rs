//! Lenders that prepare tokens for the callers of a busy peer.

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
use damaskstile_gateway::peers::{Digest, LoadReport, PeerReport};
use damaskstile_gateway::rotation_options::RotationOptions;
use damaskstile_gateway::state::State;
use damaskstile_targets::TargetTableOptions;

const ACCOUNT: &str = "large";
const DATA_CENTRE: &str = "north";
/// Instances of the data centre, the first of which is large.
const INSTANCES: usize = 30;
/// The instance that the account's callers reach.
const BUSY: usize = 7;
/// Rate at which they request tokens.
const TOKENS_PER_S: u64 = 9_000;

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
    if index == 0 { 50 } else { 12 }
}

fn state(index: usize, rotation: RotationOptions) -> State {
    let options = GatewayOptions {
        identity: Identity::new(&name(index), 1, DATA_CENTRE),
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
        rotation,
        cold: ColdOptions::default(),
        admission: AdmissionOptions::default(),
        copies: CopyOptions::default(),
        callers: CallerLimits::default(),
    };
    let mut state = State::new(&options, Duration::ZERO);
    let prepaid = BTreeMap::from([(ACCOUNT.to_owned(), 10_000_000)]);
    state.holder.set_prepaid(1, prepaid);
    state
}

/// Processes the digests of all peers; `busy_percent` is the share that the account needs at the
/// busy instance.
fn receive_all(state: &mut State, own: usize, ms: u64, busy_percent: u64) {
    for index in (0..INSTANCES).filter(|index| *index != own) {
        let mut load = LoadReport {
            load_percent: 5,
            is_in_rotation: true,
            ..LoadReport::default()
        };
        if index == BUSY {
            load = LoadReport {
                load_percent: busy_percent,
                busiest_account: ACCOUNT.to_owned(),
                busiest_percent: busy_percent,
                busiest_tokens_per_s: TOKENS_PER_S,
                ..load
            };
        }
        let digest = Digest {
            data_centre: DATA_CENTRE.to_owned(),
            capacity_percent: capacity_percent(index),
            known_instances: 30,
            load: Some(Box::new(load)),
            ..Digest::default()
        };
        let member = Member::new(1, address(index), at(ms), &digest);
        state.members.insert(name(index), member);
    }
}

/// Returns the instances that prepare tokens, with the rate that they expect.
fn preparing(rotation: RotationOptions, busy_percent: u64, age_ms: u64) -> Vec<(String, u64)> {
    let now = at(1_000 + age_ms);
    let expected = (0..INSTANCES).map(|index| {
        let mut state = state(index, rotation);
        receive_all(&mut state, index, 1_000, busy_percent);
        state.update_rotation(now);
        (name(index), state.holder.demand_tokens_per_s(now, ACCOUNT))
    });
    expected
        .filter(|(_, tokens_per_s)| *tokens_per_s > 0)
        .collect()
}

#[test]
fn the_first_two_lenders_of_a_data_centre_prepare_for_a_busy_account() {
    // Guards against an account whose callers move, when the instance that they reach leaves
    // rotation, to one that holds none of its tokens and borrows from lenders that hold none.

    // Arrange: the lenders that the other instances will ask.
    let mut borrower = state(2, RotationOptions::Uneven);
    receive_all(&mut borrower, 2, 1_000, 40);
    let mut lenders: Vec<String> = borrower
        .lenders(at(1_000), ACCOUNT)
        .others
        .into_iter()
        .map(|lender| lender.instance)
        .collect();
    lenders.sort();

    // Act
    let preparing = preparing(RotationOptions::Uneven, 40, 250);

    // Assert
    let names: Vec<String> = preparing.iter().map(|(name, _)| name.clone()).collect();
    assert_eq!(names, lenders);
    assert_eq!(names.len(), 2);
    for (name, tokens_per_s) in preparing {
        assert_eq!(tokens_per_s, TOKENS_PER_S / 2, "{name}");
    }
}

#[test]
fn no_lender_prepares_without_a_recent_report_of_a_busy_account() {
    // Guards against tokens that are withheld from the instances that need them: for an account
    // that needs little, by an old report, and where the setting switches load sharing off.

    assert_eq!(preparing(RotationOptions::Uneven, 20, 250), []);
    assert_eq!(preparing(RotationOptions::Uneven, 40, 3_500), []);
    assert_eq!(preparing(RotationOptions::Never, 40, 250), []);
}

#[test]
fn a_peers_report_of_a_writer_keeps_its_load() {
    // Guards against a large instance, which writes for the others, whose load and room are
    // forgotten whenever a peer reports on it.

    // Arrange
    let mut state = state(1, RotationOptions::Uneven);
    receive_all(&mut state, 1, 1_000, 40);
    let before = state.members[&name(0)].load.clone();
    let report = |incarnation| PeerReport {
        instance: name(0),
        incarnation,
        data_centre: DATA_CENTRE.to_owned(),
        address: address(0).to_string(),
        capacity_percent: capacity_percent(0),
        store_age_ms: 100,
        ..PeerReport::default()
    };

    // Act and assert
    state.apply_peer_report(at(2_000), &report(1));
    assert_eq!(state.members[&name(0)].received_at, at(2_000));
    assert_eq!(state.members[&name(0)].load, before);
    assert_eq!(before.map(|load| load.at), Some(at(1_000)));

    // The load of an ended incarnation says nothing of its successor.
    state.apply_peer_report(at(3_000), &report(2));
    assert_eq!(state.members[&name(0)].load, None);
}
