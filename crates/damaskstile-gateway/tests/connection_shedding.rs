//! New connections that are closed unread.

use std::time::Duration;

use damaskstile_gateway::connection_shedding::{ConnectionShedding, have_room};
use damaskstile_gateway::member::Member;
use damaskstile_gateway::peer_load::PeerLoad;
use damaskstile_gateway::peers::Digest;

const LONG_WAIT: Duration = Duration::from_millis(400);

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn member(data_centre: &str, share: f64, is_in_rotation: bool) -> Member {
    let digest = Digest {
        data_centre: data_centre.to_owned(),
        ..Digest::default()
    };
    let mut member = Member::new(1, "127.0.0.1:1".parse().unwrap(), at_ms(0), &digest);
    member.load = Some(PeerLoad {
        at: at_ms(0),
        share,
        is_in_rotation,
        busiest: None,
    });
    member
}

#[test]
fn an_instance_accepts_some_connections_however_long_calls_wait() {
    // Guards against a balancer that takes a flooded instance for dead.

    // Arrange
    let mut shedding = ConnectionShedding::default();

    // Act
    let accepted: Vec<u64> = (0..5_000)
        .step_by(10)
        .filter(|ms| !shedding.closes(at_ms(10_000 + ms), LONG_WAIT, true))
        .collect();

    // Assert: two a second.
    assert_eq!(accepted.len(), 10);
    assert!(accepted.windows(2).all(|pair| pair[1] - pair[0] <= 500));
}

#[test]
fn connections_are_read_where_others_have_no_room() {
    // Guards against callers that are turned away by one busy instance after the other without a
    // word on when to come back.

    // Arrange
    let room = |members: &[Member]| have_room(at_ms(1_000), "north", members.iter());
    let (idle, busy) = (member("north", 0.1, true), member("north", 0.7, true));
    let (out, far) = (member("north", 0.1, false), member("south", 0.1, true));

    // Act and assert
    assert!(room(&[idle.clone(), idle.clone(), busy.clone()]));
    assert!(!room(&[idle.clone(), busy.clone(), out]));
    assert!(!room(&[busy, far.clone(), far.clone()]));
    assert!(room(&[far]));
    assert!(!room(&[]));
    assert!(!have_room(at_ms(9_000), "north", [idle].iter()));
}
