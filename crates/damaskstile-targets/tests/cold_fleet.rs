//! Calls that simulated fleets send to cold targets. The instances share no clock and disagree on
//! the members of the fleet.

use damaskstile_core::prelude::*;
use damaskstile_targets::{Book, BookOptions, ColdLimit, Listed, Work};

const SERVICE: &str = "model";
/// Calls that a cold target may receive within a second: half more than twelve, and five.
const ALLOWED: usize = 23;
/// The same in the unit of a limit.
const ALLOWED_PER_S: f64 = 23.0;
/// Sizes of fleets, up to the largest expected within two years.
const SIZES: [usize; 5] = [3, 9, 90, 295, 390];
/// Time between two steps of a simulation.
const STEP_MS: u64 = 20;
/// Calls that an instance begins in one step at most, in a thousand.
const BURST_PER_MILLE: u64 = 200;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(target: &str, start: u64, cold_ms: u64) -> Listed {
    Listed {
        target: target.to_owned(),
        incarnation: Some(start),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        slots_requests: 64,
        is_ready: true,
        cold_for: at(cold_ms),
    }
}

fn name(index: usize) -> String {
    format!("i{index}")
}

/// Makes the table of an instance that knows some others.
fn book(own: usize, others: impl Iterator<Item = usize>, told: usize) -> Book {
    let mut book =
        Book::new("north", BookOptions::default()).of_instance(&name(own), Duration::ZERO);
    let limit = ColdLimit {
        cold_time: at(3_000),
        calls_per_s: Some(ALLOWED_PER_S),
    };
    book.set_cold_limits([(SERVICE.to_owned(), limit)].into());
    for other in others {
        book.meet(&name(other), told as u64);
    }
    book
}

/// Lets all instances call all the time for three seconds, and select the cold target where they
/// may. Returns the most calls that it received within a second, and all that it received.
fn most_in_a_second(books: &mut [Book], from_ms: u64, seed: u64) -> (usize, usize) {
    let mut random = Random::new(seed);
    let mut sent: Vec<u64> = Vec::new();
    for ms in (from_ms..from_ms + 3_000).step_by(usize::try_from(STEP_MS).unwrap()) {
        for book in books.iter_mut() {
            let begins = random.below(1_000) < BURST_PER_MILLE;
            let work = Work::default();
            let choice = begins.then(|| book.choose(at(ms), SERVICE, &work, &["warm".to_owned()]));
            let Some(choice) = choice.flatten() else {
                continue;
            };
            // Its connection takes a while, in which other calls may be sent.
            let later = at(ms + random.below(60));
            if book.claim_send(later, &choice.identity()) {
                sent.push(u64::try_from(later.as_millis()).unwrap());
            }
        }
    }
    sent.sort_unstable();
    let within = |from: u64| {
        let second = from..from + 1_000;
        sent.iter().filter(|at| second.contains(at)).count()
    };
    let most = sent.iter().map(|from| within(*from)).max();
    (most.unwrap_or(0), sent.len())
}

fn list_cold(books: &mut [Book], now_ms: u64) {
    for book in books {
        book.list(at(now_ms), listed("warm", 1, 0));
        book.list(at(now_ms), listed("cold", 1, 3_000));
    }
}

#[test]
fn a_new_target_that_is_best_for_all_gets_what_it_bears_at_each_size() {
    // Guards against all instances of a large fleet that find the same idle target best.
    for size in SIZES {
        for seed in 0..4 {
            // Arrange
            let mut books: Vec<Book> = (0..size).map(|own| book(own, 0..size, size)).collect();
            list_cold(&mut books, 10_000);

            // Act
            let (most, all) = most_in_a_second(&mut books, 10_000, seed);

            // Assert
            assert!(most <= ALLOWED * 8 / 10, "{size} instances: {most}");
            assert!(all > 0, "{size} instances");
        }
    }
}

#[test]
fn instances_that_know_half_of_the_others_stay_within_the_bound() {
    // Guards against instances that take themselves to be among the few because they know few
    // others.
    for size in SIZES {
        // Arrange: each knows another part of the fleet, and how many instances there are.
        let mut books: Vec<Book> = (0..size)
            .map(|own| {
                let known = (0..size).filter(move |other| (own * 7 + other * 3) % 5 < 3);
                book(own, known, size)
            })
            .collect();
        list_cold(&mut books, 10_000);

        // Act
        let (most, _) = most_in_a_second(&mut books, 10_000, 7);

        // Assert
        assert!(most <= ALLOWED, "{size} instances: {most}");
    }
}

#[test]
fn a_fleet_that_was_killed_and_starts_at_once_sends_nothing_before_it_knows_itself() {
    // Guards against processes that know neither each other nor what their predecessors sent.
    for size in SIZES {
        // Arrange: each has heard from one peer, which knows how many instances there are.
        let mut books: Vec<Book> = (0..size)
            .map(|own| {
                let mut book =
                    Book::new("north", BookOptions::default()).of_instance(&name(own), at(10_000));
                let limit = ColdLimit {
                    cold_time: at(3_000),
                    calls_per_s: Some(ALLOWED_PER_S),
                };
                book.set_cold_limits([(SERVICE.to_owned(), limit)].into());
                book.meet(&name((own + 1) % size), size as u64);
                book
            })
            .collect();
        list_cold(&mut books, 10_000);

        // Act
        let (most, _) = most_in_a_second(&mut books, 10_000, 3);

        // Assert
        assert!(most <= ALLOWED, "{size} instances: {most}");
    }
}

#[test]
fn both_sides_of_a_cut_fleet_stay_within_the_bound_together() {
    // Guards against sides that each find the full number of senders among their own instances.

    // Arrange: they met before the partition.
    let mut books: Vec<Book> = (0..90).map(|own| book(own, 0..90, 90)).collect();
    list_cold(&mut books, 20_000);

    // Act: instances hear nothing of the other side; what each knows does not change.
    let (most, _) = most_in_a_second(&mut books, 20_000, 11);

    // Assert
    assert!(most <= ALLOWED * 8 / 10, "{most}");
}

#[test]
fn an_older_word_does_not_shorten_a_cold_time_and_a_new_incarnation_begins_its_own() {
    // Arrange
    let mut book = book(0, 0..1, 1);
    book.list(at(5_000), listed("t", 1, 3_000));

    // Act
    book.list(at(5_100), listed("t", 1, 500));
    let of_first = book.cold_for(at(5_100), "t");
    book.list(at(5_200), listed("t", 2, 2_000));
    let of_next = book.cold_for(at(5_200), "t");

    // Assert
    assert_eq!(of_first, at(2_900));
    assert_eq!(of_next, at(2_000));
}

#[test]
fn absurd_cold_times_are_bounded() {
    // Arrange
    let mut book = book(0, 0..1, 1);

    // Act
    book.list(at(5_000), listed("t", 1, u64::MAX / 2));

    // Assert
    assert_eq!(book.cold_for(at(5_000), "t"), Duration::from_mins(1));
}

#[test]
fn a_target_that_ended_is_taken_for_cold_until_it_is_listed_or_gone() {
    // Guards against a target that is back under its name before any report of it.

    // Arrange
    let mut book = book(0, 0..1, 1);
    book.list(at(5_000), listed("t", 1, 0));

    // Act
    book.note_ended(at(6_000), &TargetIdentity::new("t", Some(1)));

    // Assert
    assert_eq!(book.cold_for(at(6_000), "t"), at(7_000));
}

#[test]
fn an_instance_that_has_just_started_sends_nothing_to_a_cold_target() {
    // Guards against what a process and its successor send together within the same second.

    // Arrange
    let started_at = at(10_000);
    let mut book = Book::new("north", BookOptions::default()).of_instance("i", started_at);
    let limit = ColdLimit {
        cold_time: at(3_000),
        calls_per_s: Some(ALLOWED_PER_S),
    };
    book.set_cold_limits([(SERVICE.to_owned(), limit)].into());
    book.list(started_at, listed("cold", 1, 3_000));
    let chosen = |ms: u64| book.choose(at(ms), SERVICE, &Work::default(), &[]);

    // Act
    let at_once = chosen(10_900);
    let later = chosen(11_200);

    // Assert
    assert_eq!(at_once, None);
    assert!(later.is_some());
}

#[test]
fn calls_that_wait_for_connections_at_the_same_time_take_one_place_each() {
    // Guards against calls that were selected while the limit had room, and are sent together.

    // Arrange: one of eighteen senders, with one call a second.
    let mut book = book(0, 0..18, 18);
    book.list(at(5_000), listed("cold", 1, 3_000));
    let choice = book.choose(at(5_000), SERVICE, &Work::default(), &[]);
    let identity = choice.unwrap().identity();

    // Act
    let sent: Vec<bool> = (0..4)
        .map(|ms| book.claim_send(at(5_010 + ms), &identity))
        .collect();
    let next = book.claim_send(at(6_040), &identity);

    // Assert
    assert_eq!(sent, [true, false, false, false]);
    assert!(next);
}
