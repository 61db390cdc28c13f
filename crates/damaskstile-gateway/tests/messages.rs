//! Messages between instances: any bytes are read or refused, and none is read as another.

use damaskstile_gateway::peers::{AccountTokens, Datagram, DatagramBody, Digest, GiveTokens};
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
fn datagrams_of_any_bytes_are_read_without_a_panic() {
    proptest!(config(), |(bytes in prop::collection::vec(any::<u8>(), 0..300))| {
        let _ = Datagram::decode(bytes.as_slice());
    });
}

#[test]
fn datagrams_come_back_as_they_were_sent() {
    // Arrange
    let digest = Digest {
        unix_ms: 5,
        catalogue_version: 7,
        leaving: vec!["t".to_owned()],
        free: vec![AccountTokens {
            account: "a".to_owned(),
            tokens: 9,
        }],
        ..Digest::default()
    };
    let gift = GiveTokens {
        account: "a".to_owned(),
        tokens: 4,
        gift: 1,
    };

    // Act and assert
    for body in [DatagramBody::Digest(digest), DatagramBody::Give(gift)] {
        let datagram = Datagram {
            from: "one".to_owned(),
            incarnation: 3,
            body: Some(body),
        };
        let bytes = datagram.encode_to_vec();
        assert_eq!(Datagram::decode(bytes.as_slice()).unwrap(), datagram);
    }
}
