//! Targets that receive copies of runs.

use std::collections::BTreeSet;
use std::time::Duration;

use damaskstile_targets::{Choice, Listed, TargetTable, TargetTableOptions, Work};

const SERVICE: &str = "model";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(target: &str, data_centre: &str) -> Listed {
    Listed {
        target: target.to_owned(),
        incarnation: Some(1),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: data_centre.to_owned(),
        slots_requests: 64,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

/// Returns a table with the targets `a`, `b` and `c` in one data centre and `d` in another.
fn table() -> TargetTable {
    let mut table = TargetTable::new("north", TargetTableOptions::default());
    for target in ["a", "b", "c"] {
        table.list(at(0), listed(target, "north"));
    }
    table.list(at(0), listed("d", "south"));
    table
}

/// Returns the choice of a given target.
fn choice_of(table: &TargetTable, target: &str) -> Choice {
    let others = ["a", "b", "c", "d"].map(str::to_owned);
    let others: Vec<String> = others.into_iter().filter(|other| other != target).collect();
    table
        .choose(at(0), SERVICE, &Work::default(), &others)
        .unwrap()
}

/// Returns the target that would hold the copy of a run at `target`.
fn second(table: &TargetTable, now: Duration, target: &str) -> Option<String> {
    let run = choice_of(table, target);
    let tried = [target.to_owned()];
    let second = table.choose_copy_target(now, &run, &Work::default(), &tried);
    second.map(|second| second.target)
}

#[test]
fn copies_are_spread_over_the_data_centre_of_their_runs() {
    // Guards against copies that all fill the memory of one target, and against transfers to
    // another data centre.

    // Arrange
    let mut table = table();

    // Act
    let mut seconds = Vec::new();
    for _ in 0..4 {
        let second = second(&table, at(0), "a").unwrap();
        table.copy_begun(&second);
        seconds.push(second);
    }
    for second in &seconds {
        table.copy_ended(second);
    }

    // Assert
    let count = |target: &str| seconds.iter().filter(|second| *second == target).count();
    assert_eq!([count("b"), count("c")], [2, 2], "{seconds:?}");
    assert_eq!(second(&table, at(0), "a").as_ref(), seconds.first());
}

#[test]
fn the_least_loaded_target_holds_the_copy() {
    // Guards against copies that displace running calls.

    // Arrange
    let mut table = table();
    let busy = choice_of(&table, "b");
    table.sent(at(0), &busy, &Work::default());

    // Act
    let second = second(&table, at(0), "a");

    // Assert
    assert_eq!(second.as_deref(), Some("c"));
}

#[test]
fn leaving_cold_and_suspect_targets_hold_no_copies() {
    // Guards against copies at targets that are about to end or have no memory to spare.

    // Arrange
    let mut table = table();
    let (suspect, leaving) = (choice_of(&table, "b"), choice_of(&table, "c"));
    table.failed(at(0), &suspect);
    assert!(!table.is_suspect(at(0), "b"));
    table.failed(at(0), &suspect);
    table.leave(at(0), &leaving.identity());

    // Act
    let other_data_centre = second(&table, at(0), "a");
    let mut cold = listed("d", "south");
    cold.cold_for = at(10_000);
    table.list(at(0), cold);
    let none = second(&table, at(0), "a");
    let recovered = second(&table, at(4_000), "a");

    // Assert
    assert!(table.is_suspect(at(0), "b"));
    assert_eq!(other_data_centre.as_deref(), Some("d"));
    assert_eq!(none, None);
    assert_eq!(recovered.as_deref(), Some("b"));
}

#[test]
fn a_copy_stays_in_the_home_regions_of_its_call() {
    // Guards against memory of a call that leaves the regions that may run it.

    // Arrange
    let regions = [("north", "r1"), ("south", "r2")];
    let regions = regions.map(|(data_centre, region)| (data_centre.to_owned(), region.to_owned()));
    let options = TargetTableOptions {
        regions: regions.into(),
        ..TargetTableOptions::default()
    };
    let mut table = TargetTable::new("north", options);
    table.list(at(0), listed("a", "north"));
    table.list(at(0), listed("d", "south"));
    let run = choice_of(&table, "a");
    let work = Work {
        home_regions: Some(BTreeSet::from(["r1".to_owned()]).into()),
        ..Work::default()
    };

    // Act
    let second = table.choose_copy_target(at(0), &run, &work, &["a".to_owned()]);

    // Assert
    assert_eq!(second, None);
}

#[test]
fn incarnations_that_drained_may_still_run_calls() {
    // Guards against a run that continues from its copy while a drained incarnation, which accepts
    // no connections, still completes it: also once a successor is listed under the same name.

    // Arrange
    let mut table = table();
    let old = choice_of(&table, "a").identity();
    let mut draining = listed("a", "north");
    draining.is_ready = false;
    let mut successor = listed("a", "north");
    successor.incarnation = Some(2);

    // Act
    let at_first = table.may_drain(&old);
    table.list(at(0), draining);
    let drained = table.may_drain(&old);
    table.list(at(0), successor);
    let replaced = table.may_drain(&old);

    // Assert
    assert_eq!([at_first, drained, replaced], [false, true, true]);
    assert!(!table.may_drain(&choice_of(&table, "a").identity()));
}

#[test]
fn copies_are_held_by_targets_of_the_same_version() {
    // Guards against a run that continues from its copy at another version of software.

    // Arrange
    let mut table = table();
    for (target, version) in [("b", "v2"), ("c", "v2"), ("d", "v1")] {
        let data_centre = if target == "d" { "south" } else { "north" };
        table.list(
            at(1),
            Listed {
                software_version: version.to_owned(),
                weights: Vec::new(),
                ..listed(target, data_centre)
            },
        );
    }

    // Act
    let of_a = second(&table, at(1), "a");
    let of_b = second(&table, at(1), "b");

    // Assert
    assert_eq!(of_a.as_deref(), Some("d"));
    assert_eq!(of_b.as_deref(), Some("c"));
}
