//! Targets in backoff.

use std::time::Duration;

use damaskstile_targets::{Choice, Listed, TargetTable, TargetTableOptions, Work};

const SERVICE: &str = "model";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(target: &str, incarnation: u64) -> Listed {
    Listed {
        target: target.to_owned(),
        incarnation: Some(incarnation),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        slots_requests: 64,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

fn table(targets: &[&str]) -> TargetTable {
    let mut table = TargetTable::new("north", TargetTableOptions::default());
    for target in targets {
        table.list(at(0), listed(target, 1));
    }
    table
}

fn choose(table: &TargetTable, now: Duration) -> Option<Choice> {
    table.choose(now, SERVICE, &Work::default(), &[])
}

fn name(choice: Option<Choice>) -> Option<String> {
    choice.map(|choice| choice.target)
}

/// Returns the choice of a given target.
fn choice_of(table: &TargetTable, target: &str) -> Choice {
    let others: Vec<String> = ["a", "b"].map(str::to_owned).into();
    let others: Vec<String> = others.into_iter().filter(|other| other != target).collect();
    table
        .choose(at(0), SERVICE, &Work::default(), &others)
        .unwrap()
}

#[test]
fn a_backoff_holds_new_and_waiting_calls_back_until_it_ends() {
    // Arrange
    let mut table = table(&["a"]);
    let choice = choice_of(&table, "a");

    // Act
    table.start_backoff(at(1_000), &choice, at(2_000));

    // Assert: a call that waits for its connection is held back too.
    assert_eq!(choose(&table, at(2_999)), None);
    assert!(!table.may_send(at(2_999), &choice.identity()));
    assert_eq!(table.backoff_left(at(2_999), SERVICE), Some(at(1)));
    assert_eq!(table.targets_in_backoff(at(2_999)), 1);
    assert_eq!(name(choose(&table, at(3_000))), Some("a".to_owned()));
    assert!(table.may_send(at(3_000), &choice.identity()));
    assert_eq!(table.backoff_left(at(3_000), SERVICE), None);
}

#[test]
fn a_later_shorter_backoff_does_not_end_a_longer_one() {
    // Arrange
    let mut table = table(&["a"]);
    let choice = choice_of(&table, "a");

    // Act
    table.start_backoff(at(0), &choice, at(5_000));
    table.start_backoff(at(100), &choice, at(200));
    table.succeeded(at(150), &choice);

    // Assert
    assert_eq!(choose(&table, at(4_000)), None);
}

#[test]
fn the_earliest_end_of_backoffs_is_known_if_all_targets_back_off() {
    // Arrange
    let mut table = table(&["a", "b"]);
    let (a, b) = (choice_of(&table, "a"), choice_of(&table, "b"));

    // Act and assert
    table.start_backoff(at(0), &a, at(4_000));
    assert_eq!(table.backoff_left(at(0), SERVICE), None);
    table.start_backoff(at(0), &b, at(3_000));
    assert_eq!(table.backoff_left(at(0), SERVICE), Some(at(3_000)));
    table.leave(at(0), &b.identity());
    assert_eq!(table.backoff_left(at(0), SERVICE), Some(at(4_000)));
}

#[test]
fn a_backoff_ends_with_its_incarnation() {
    // Arrange
    let mut table = table(&["a"]);
    let choice = choice_of(&table, "a");
    table.start_backoff(at(0), &choice, Duration::from_hours(1));

    // Act
    table.list(at(1_000), listed("a", 2));
    let before = name(choose(&table, at(1_000)));
    table.start_backoff(at(1_100), &choice, Duration::from_hours(1));

    // Assert: a late backoff of the previous incarnation changes nothing.
    assert_eq!(before, Some("a".to_owned()));
    assert_eq!(name(choose(&table, at(1_200))), Some("a".to_owned()));
}

#[test]
fn work_returns_gradually_after_a_backoff() {
    // Arrange: a target turned a call away and asked for a long backoff; the other one has more
    // load.
    let mut table = table(&["a", "b"]);
    let (a, b) = (choice_of(&table, "a"), choice_of(&table, "b"));
    table.start_backoff(at(0), &a, at(30_000));
    table.failed(at(0), &a);
    for _ in 0..10 {
        table.sent(at(30_000), &b, &Work::default());
    }

    // Act and assert
    assert_eq!(name(choose(&table, at(30_001))), Some("b".to_owned()));
    assert_eq!(name(choose(&table, at(36_000))), Some("a".to_owned()));
}
