//! Decoding of messages between instances: arbitrary bytes are decoded or rejected, and messages
//! round-trip.

use damaskstile_core::prelude::TargetIdentity;
use damaskstile_gateway::peers::{
    AccountTokens, BulkLoadReport, Datagram, DatagramBody, Digest, SpeedReport, TokenTransfer,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use prost::Message;

fn config() -> Config {
    Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(9),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn decoding_arbitrary_bytes_never_panics() {
    proptest!(config(), |(bytes in prop::collection::vec(any::<u8>(), 0..300))| {
        let _ = Datagram::decode(bytes.as_slice());
    });
}

#[test]
fn datagrams_round_trip() {
    // Arrange
    let digest = Digest {
        unix_ms: 5,
        catalogue_version: 7,
        leaving: vec!["t".to_owned()],
        free: vec![AccountTokens {
            account: "a".to_owned(),
            tokens: 9,
        }],
        speeds: vec![SpeedReport {
            target: "t".to_owned(),
            started_at_unix_ms: Some(1),
            factor_percent: 240,
            samples: 20,
            age_ms: 900,
        }],
        bulk_loads: vec![BulkLoadReport {
            service: "s".to_owned(),
            recent_ms: 400,
            lasting_ms: 90,
        }],
        ..Digest::default()
    };
    let transfer = TokenTransfer {
        account: "a".to_owned(),
        tokens: 4,
        number: 1,
    };

    // Act and assert
    for body in [
        DatagramBody::Digest(digest),
        DatagramBody::TokenTransfer(transfer),
    ] {
        let datagram = Datagram {
            from: "one".to_owned(),
            incarnation: 3,
            body: Some(body),
        };
        let bytes = datagram.encode_to_vec();
        assert_eq!(Datagram::decode(bytes.as_slice()).unwrap(), datagram);
    }
}

#[test]
fn a_digest_stays_readable_for_instances_of_the_previous_version() {
    // Guards against instances sending calls to targets that their peers know to be draining,
    // during a rolling upgrade of the fleet. A digest's fields changed their meaning, and instances
    // of the other version could not read it.

    // Arrange
    let identity = TargetIdentity::new;
    let leaving = [identity("old", None), identity("new", Some(7))];
    let delisted = [
        (identity("gone", None), 41),
        (identity("back", Some(9)), 40),
    ];

    // Act
    let digest = Digest::default().with_departures(&leaving, &delisted);
    let read = Digest::decode(digest.encode_to_vec().as_slice()).unwrap();

    // Assert
    assert_eq!(read.leaving, ["old"]);
    assert_eq!(read.all_leaving(), leaving);
    assert_eq!(read.delisted_with_versions(), delisted);
}
