//! Calls that simulated fleets send to cold targets. The instances share no clock and disagree on
//! the members of the fleet.

use damaskstile_core::prelude::*;
use damaskstile_targets::{ColdLimit, Listed, TargetTable, TargetTableOptions, Work};

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
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: at(cold_ms),
    }
}

fn name(index: usize) -> String {
    format!("i{index}")
}

/// Makes the table of an instance that knows some others.
fn table(
    own: usize,
    others: impl Iterator<Item = usize>,
    reported_instances: usize,
) -> TargetTable {
    let mut table = TargetTable::new("north", TargetTableOptions::default())
        .for_instance(&name(own), Duration::ZERO);
    let limit = ColdLimit {
        cold_time: at(3_000),
        calls_per_s: Some(ALLOWED_PER_S),
    };
    table.set_cold_limits([(SERVICE.to_owned(), limit)].into());
    for other in others {
        table.add_instance(&name(other), reported_instances as u64);
    }
    table
}

/// Lets all instances call all the time for three seconds, and select the cold target where they
/// may. Returns the most calls that it received within a second, and all that it received.
fn most_in_a_second(tables: &mut [TargetTable], from_ms: u64, seed: u64) -> (usize, usize) {
    let mut random = Random::new(seed);
    let mut sent: Vec<u64> = Vec::new();
    for ms in (from_ms..from_ms + 3_000).step_by(usize::try_from(STEP_MS).unwrap()) {
        for table in tables.iter_mut() {
            let begins = random.below(1_000) < BURST_PER_MILLE;
            let work = Work::default();
            let choice = begins.then(|| table.choose(at(ms), SERVICE, &work, &["warm".to_owned()]));
            let Some(choice) = choice.flatten() else {
                continue;
            };
            // Its connection takes a while, in which other calls may be sent.
            let later = at(ms + random.below(60));
            if table.claim_send(later, &choice.identity()) {
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

fn list_cold(tables: &mut [TargetTable], now_ms: u64) {
    for table in tables {
        table.list(at(now_ms), listed("warm", 1, 0));
        table.list(at(now_ms), listed("cold", 1, 3_000));
    }
}

#[test]
fn a_cold_target_that_is_best_for_all_stays_within_its_limit() {
    // Guards against all instances of a large fleet that find the same idle target best.
    for size in SIZES {
        for seed in 0..4 {
            // Arrange
            let mut tables: Vec<TargetTable> =
                (0..size).map(|own| table(own, 0..size, size)).collect();
            list_cold(&mut tables, 10_000);

            // Act
            let (most, all) = most_in_a_second(&mut tables, 10_000, seed);

            // Assert
            assert!(most <= ALLOWED * 8 / 10, "{size} instances: {most}");
            assert!(all > 0, "{size} instances");
        }
    }
}

#[test]
fn instances_that_know_half_of_the_others_stay_within_the_limit() {
    // Guards against instances that take themselves to be among the few because they know few
    // others.
    for size in SIZES {
        // Arrange: each knows another part of the fleet, and how many instances there are.
        let mut tables: Vec<TargetTable> = (0..size)
            .map(|own| {
                let known = (0..size).filter(move |other| (own * 7 + other * 3) % 5 < 3);
                table(own, known, size)
            })
            .collect();
        list_cold(&mut tables, 10_000);

        // Act
        let (most, _) = most_in_a_second(&mut tables, 10_000, 7);

        // Assert
        assert!(most <= ALLOWED, "{size} instances: {most}");
    }
}

#[test]
fn a_fleet_that_restarts_at_once_stays_within_the_limit() {
    // Guards against processes that know neither each other nor what their predecessors sent.
    for size in SIZES {
        // Arrange: each has heard from one peer, which knows how many instances there are.
        let mut tables: Vec<TargetTable> = (0..size)
            .map(|own| {
                let mut table = TargetTable::new("north", TargetTableOptions::default())
                    .for_instance(&name(own), at(10_000));
                let limit = ColdLimit {
                    cold_time: at(3_000),
                    calls_per_s: Some(ALLOWED_PER_S),
                };
                table.set_cold_limits([(SERVICE.to_owned(), limit)].into());
                table.add_instance(&name((own + 1) % size), size as u64);
                table
            })
            .collect();
        list_cold(&mut tables, 10_000);

        // Act
        let (most, _) = most_in_a_second(&mut tables, 10_000, 3);

        // Assert
        assert!(most <= ALLOWED, "{size} instances: {most}");
    }
}

#[test]
fn both_sides_of_a_partition_stay_within_the_limit_together() {
    // Guards against sides that each find the full number of senders among their own instances.

    // Arrange: they met before the partition.
    let mut tables: Vec<TargetTable> = (0..90).map(|own| table(own, 0..90, 90)).collect();
    list_cold(&mut tables, 20_000);

    // Act: instances hear nothing of the other side; what each knows does not change.
    let (most, _) = most_in_a_second(&mut tables, 20_000, 11);

    // Assert
    assert!(most <= ALLOWED * 8 / 10, "{most}");
}

#[test]
fn a_cold_time_is_not_shortened_and_a_new_incarnation_starts_its_own() {
    // Arrange
    let mut table = table(0, 0..1, 1);
    table.list(at(5_000), listed("t", 1, 3_000));

    // Act
    table.list(at(5_100), listed("t", 1, 500));
    let of_first = table.cold_for(at(5_100), "t");
    table.list(at(5_200), listed("t", 2, 2_000));
    let of_next = table.cold_for(at(5_200), "t");

    // Assert
    assert_eq!(of_first, at(2_900));
    assert_eq!(of_next, at(2_000));
}

#[test]
fn excessive_cold_times_are_bounded() {
    // Arrange
    let mut table = table(0, 0..1, 1);

    // Act
    table.list(at(5_000), listed("t", 1, u64::MAX / 2));

    // Assert
    assert_eq!(table.cold_for(at(5_000), "t"), Duration::from_mins(1));
}

#[test]
fn a_target_that_ended_is_treated_as_cold() {
    // Guards against a target that is back under its name before any report of it.

    // Arrange
    let mut table = table(0, 0..1, 1);
    table.list(at(5_000), listed("t", 1, 0));

    // Act
    table.note_ended(at(6_000), &TargetIdentity::new("t", Some(1)));

    // Assert
    assert_eq!(table.cold_for(at(6_000), "t"), at(7_000));
}

#[test]
fn an_instance_that_has_just_started_sends_nothing_to_a_cold_target() {
    // Guards against what a process and its successor send together within the same second.

    // Arrange
    let started_at = at(10_000);
    let mut table =
        TargetTable::new("north", TargetTableOptions::default()).for_instance("i", started_at);
    let limit = ColdLimit {
        cold_time: at(3_000),
        calls_per_s: Some(ALLOWED_PER_S),
    };
    table.set_cold_limits([(SERVICE.to_owned(), limit)].into());
    table.list(started_at, listed("cold", 1, 3_000));
    let chosen = |ms: u64| table.choose(at(ms), SERVICE, &Work::default(), &[]);

    // Act
    let at_once = chosen(10_900);
    let later = chosen(11_200);

    // Assert
    assert_eq!(at_once, None);
    assert!(later.is_some());
}

#[test]
fn calls_that_wait_for_connections_together_each_use_up_the_limit() {
    // Guards against calls that were selected while the limit had room, and are sent together.

    // Arrange: one of eighteen senders, with one call a second.
    let mut table = table(0, 0..18, 18);
    table.list(at(5_000), listed("cold", 1, 3_000));
    let choice = table.choose(at(5_000), SERVICE, &Work::default(), &[]);
    let identity = choice.unwrap().identity();

    // Act
    let sent: Vec<bool> = (0..4)
        .map(|ms| table.claim_send(at(5_010 + ms), &identity))
        .collect();
    let next = table.claim_send(at(6_040), &identity);

    // Assert
    assert_eq!(sent, [true, false, false, false]);
    assert!(next);
}
