//! Where streams began, and the search for it.

use std::time::Duration;

use damaskstile_requests::{OriginAnswer, OriginLookup, StreamOrigin, StreamOrigins};

const LIFETIME: Duration = Duration::from_secs(10);

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "model".to_owned(),
        version: version.to_owned(),
    }
}

fn knows(versions: &[&str], is_whole: bool) -> OriginAnswer {
    OriginAnswer {
        origin: None,
        versions: versions
            .iter()
            .map(|version| (*version).to_owned())
            .collect(),
        is_whole,
    }
}

#[test]
fn each_own_stream_is_reported_once() {
    // Guards against streams that nobody can take up because they were not reported while their
    // service had one version, and against ones that are reported again and again.

    // Arrange
    let mut origins = StreamOrigins::default();
    origins.note_begun(at(0), 1, origin("v1"), LIFETIME);
    origins.note_begun(at(0), 2, origin("v1"), LIFETIME);
    origins.note_reported(at(0), 3, origin("v2"), LIFETIME);

    // Act
    let first = origins.take_unreported(at(1), 1);
    let second = origins.take_unreported(at(2), 10);
    let again = origins.take_unreported(at(2), 10);

    // Assert
    assert_eq!(first[&origin("v1")], (at(9), vec![1]));
    assert_eq!(second[&origin("v1")], (at(8), vec![2]));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert!(again.is_empty());
    assert!(!origins.has_unreported());
}

#[test]
fn a_stream_that_was_taken_up_can_be_taken_up_again() {
    // Guards against a stream whose record expires while an attempt that took it up still runs: a
    // third attempt names the first one and would go on at a version that is taken for the only one.

    // Arrange
    let mut origins = StreamOrigins::default();
    origins.note_begun(at(0), 1, origin("v1"), LIFETIME);
    origins.note_reported(at(0), 2, origin("v1"), LIFETIME);

    // Act
    origins.note_begun(at(8), 1, origin("v1"), LIFETIME);
    origins.note_reported(at(8), 2, origin("v2"), LIFETIME);

    // Assert
    assert_eq!(origins.origin(at(17), 1), Some(&origin("v1")));
    assert_eq!(origins.origin(at(18), 1), None);
    assert_eq!(origins.origin(at(9), 2), Some(&origin("v1")));
    assert_eq!(origins.origin(at(10), 2), None);
}

#[test]
fn a_peer_that_starts_gets_own_streams_and_a_share_of_the_others() {
    // Guards against records that are lost once all instances that kept them have restarted.

    // Arrange
    let mut origins = StreamOrigins::default();
    origins.note_begun(at(0), 1, origin("v1"), LIFETIME);
    origins.note_reported(at(0), 2, origin("v1"), LIFETIME);
    origins.note_reported(at(0), 4, origin("v2"), at(3));
    origins.note_reported(at(0), 6, origin("v2"), at(1));

    // Act
    let streams = origins.to_hand_over(at(2), |key| key >= 4);

    // Assert
    assert_eq!(streams[&origin("v1")], (at(8), vec![1]));
    assert_eq!(streams[&origin("v2")], (at(1), vec![4]));
}

#[test]
fn remembered_streams_are_bounded() {
    // Guards against memory that grows with the number of streams.

    // Arrange
    let mut origins = StreamOrigins::default();

    // Act
    for key in 0..70_000 {
        origins.note_begun(
            Duration::from_millis(key / 100),
            key,
            origin("v1"),
            LIFETIME,
        );
    }
    let now = Duration::from_millis(700);
    let kept = (0..70_000)
        .filter(|key| origins.origin(now, *key).is_some())
        .count();
    let has_newest = origins.origin(now, 69_999).is_some();
    origins.note_begun(at(100), 1, origin("v2"), LIFETIME);

    // Assert
    assert_eq!(kept, 65_536);
    assert!(has_newest);
    assert_eq!(origins.origin(at(100), 1), Some(&origin("v2")));
    assert_eq!(origins.origin(at(100), 69_999), None);
}

#[test]
fn a_later_record_does_not_change_where_a_stream_began() {
    // Guards against a stream that goes on at the version of its last attempt rather than its first.

    // Arrange
    let mut origins = StreamOrigins::default();
    origins.note_reported(at(0), 1, origin("v1"), LIFETIME);

    // Act
    origins.note_reported(at(1), 1, origin("v2"), LIFETIME);

    // Assert
    assert_eq!(origins.origin(at(1), 1), Some(&origin("v1")));
}

#[test]
fn a_record_of_any_instance_decides() {
    // Guards against a record that is ignored because others know of one version only.

    // Arrange
    let mut lookup = OriginLookup::new("model", knows(&["v1"], true), 3);
    let recorded = OriginAnswer {
        origin: Some(origin("v2")),
        ..knows(&["v1", "v2"], true)
    };

    // Act
    let before = lookup.origin(false);
    lookup.add_answer("b", recorded);
    let after = lookup.origin(false);

    // Assert
    assert_eq!(before, None);
    assert_eq!(after, Some(origin("v2")));
}

#[test]
fn the_only_version_is_taken_once_two_peers_know_no_other() {
    // Guards against an instance that lags behind the list of targets and takes the one version that
    // it knows for the only one.

    // Arrange
    let lagging = knows(&["v1"], true);
    let mut lookup = OriginLookup::new("model", lagging.clone(), 4);

    // Act
    let alone = lookup.origin(true);
    lookup.add_answer("b", lagging.clone());
    let with_one = lookup.origin(false);
    lookup.add_answer("c", lagging.clone());
    let with_two = lookup.origin(false);
    lookup.add_answer("d", knows(&["v1", "v2"], true));
    let with_another = lookup.origin(true);

    // Assert
    assert_eq!((alone, with_one), (None, None));
    assert_eq!(with_two, Some(origin("v1")));
    assert_eq!(with_another, None);
}

#[test]
fn instances_that_have_just_started_take_no_version_for_the_only_one() {
    // Guards against streams that go on at another version after all instances were killed: none
    // knows which versions there were before.

    // Arrange
    let started = knows(&["v1"], false);
    let mut lookup = OriginLookup::new("model", started.clone(), 1);

    // Act
    lookup.add_answer("b", started);
    let of_started = lookup.origin(true);
    lookup.add_answer("c", knows(&["v1"], true));
    let with_older = lookup.origin(true);

    // Assert
    assert_eq!(of_started, None);
    assert_eq!(with_older, Some(origin("v1")));
}
