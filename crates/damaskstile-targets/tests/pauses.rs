//! Targets in backoff.

use std::time::Duration;

use damaskstile_targets::{Book, BookOptions, Choice, Listed, Work};

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
        cold_for: Duration::ZERO,
    }
}

fn book(targets: &[&str]) -> Book {
    let mut book = Book::new("north", BookOptions::default());
    for target in targets {
        book.list(at(0), listed(target, 1));
    }
    book
}

fn choose(book: &Book, now: Duration) -> Option<Choice> {
    book.choose(now, SERVICE, &Work::default(), &[])
}

fn name(choice: Option<Choice>) -> Option<String> {
    choice.map(|choice| choice.target)
}

/// Returns the choice of a given target.
fn choice_of(book: &Book, target: &str) -> Choice {
    let others: Vec<String> = ["a", "b"].map(str::to_owned).into();
    let others: Vec<String> = others.into_iter().filter(|other| other != target).collect();
    book.choose(at(0), SERVICE, &Work::default(), &others)
        .unwrap()
}

#[test]
fn a_pause_keeps_new_and_waiting_calls_away_until_it_is_over() {
    // Arrange
    let mut book = book(&["a"]);
    let choice = choice_of(&book, "a");

    // Act
    book.pause(at(1_000), &choice, at(2_000));

    // Assert: a call that waits for its connection is held back too.
    assert_eq!(choose(&book, at(2_999)), None);
    assert!(!book.may_send(at(2_999), &choice.identity()));
    assert_eq!(book.paused_for(at(2_999), SERVICE), Some(at(1)));
    assert_eq!(book.paused_targets(at(2_999)), 1);
    assert_eq!(name(choose(&book, at(3_000))), Some("a".to_owned()));
    assert!(book.may_send(at(3_000), &choice.identity()));
    assert_eq!(book.paused_for(at(3_000), SERVICE), None);
}

#[test]
fn a_shorter_word_that_follows_does_not_end_a_longer_one() {
    // Arrange
    let mut book = book(&["a"]);
    let choice = choice_of(&book, "a");

    // Act
    book.pause(at(0), &choice, at(5_000));
    book.pause(at(100), &choice, at(200));
    book.succeeded(at(150), &choice);

    // Assert
    assert_eq!(choose(&book, at(4_000)), None);
}

#[test]
fn callers_are_told_of_the_pause_that_ends_first_and_only_where_all_want_one() {
    // Arrange
    let mut book = book(&["a", "b"]);
    let (a, b) = (choice_of(&book, "a"), choice_of(&book, "b"));

    // Act and assert
    book.pause(at(0), &a, at(4_000));
    assert_eq!(book.paused_for(at(0), SERVICE), None);
    book.pause(at(0), &b, at(3_000));
    assert_eq!(book.paused_for(at(0), SERVICE), Some(at(3_000)));
    book.leave(at(0), &b.identity());
    assert_eq!(book.paused_for(at(0), SERVICE), Some(at(4_000)));
}

#[test]
fn a_pause_ends_with_its_incarnation() {
    // Arrange
    let mut book = book(&["a"]);
    let choice = choice_of(&book, "a");
    book.pause(at(0), &choice, Duration::from_hours(1));

    // Act
    book.list(at(1_000), listed("a", 2));
    let before = name(choose(&book, at(1_000)));
    book.pause(at(1_100), &choice, Duration::from_hours(1));

    // Assert: a late backoff of the previous incarnation changes nothing.
    assert_eq!(before, Some("a".to_owned()));
    assert_eq!(name(choose(&book, at(1_200))), Some("a".to_owned()));
}

#[test]
fn work_comes_back_by_and_by_after_a_pause() {
    // Arrange: a target turned a call away and asked for a long backoff; the other one has more
    // load.
    let mut book = book(&["a", "b"]);
    let (a, b) = (choice_of(&book, "a"), choice_of(&book, "b"));
    book.pause(at(0), &a, at(30_000));
    book.failed(at(0), &a);
    for _ in 0..10 {
        book.sent(at(30_000), &b, &Work::default());
    }

    // Act and assert
    assert_eq!(name(choose(&book, at(30_001))), Some("b".to_owned()));
    assert_eq!(name(choose(&book, at(36_000))), Some("a".to_owned()));
}
