//! Calls that are bound to a version of their targets' software.

use std::collections::BTreeSet;
use std::time::Duration;

use damaskstile_core::prelude::RefusalCode;
use damaskstile_targets::{Listed, TargetTable, TargetTableOptions, Work};

const SERVICE: &str = "model";

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn listed(target: &str, version: &str) -> Listed {
    Listed {
        target: target.to_owned(),
        incarnation: Some(1),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        slots_requests: 64,
        software_version: version.to_owned(),
        weights: Vec::new(),
        is_ready: true,
        cold_for: Duration::ZERO,
    }
}

fn table(targets: &[(&str, &str)]) -> TargetTable {
    let mut table = TargetTable::new("north", TargetTableOptions::default());
    let all = targets
        .iter()
        .map(|(target, version)| Ok(listed(target, version)));
    table.list_all(at(0), all.collect(), false);
    table
}

fn bound_to(version: &str) -> Work {
    Work {
        software_version: Some(version.to_owned()),
        ..Work::default()
    }
}

fn versions(table: &TargetTable, now: Duration) -> BTreeSet<String> {
    table.versions_within(now, SERVICE, at(10))
}

#[test]
fn a_bound_call_goes_only_to_targets_of_its_version() {
    // Guards against streams that go on at another version of software.

    // Arrange
    let table = table(&[("a", "v1"), ("b", "v2"), ("c", "v2")]);

    // Act
    let choose = |version: &str, tried: &[&str]| {
        let tried: Vec<String> = tried.iter().map(|target| (*target).to_owned()).collect();
        let choice = table.choose(at(0), SERVICE, &bound_to(version), &tried);
        choice.map(|choice| choice.target)
    };

    // Assert
    assert_eq!(choose("v1", &[]).as_deref(), Some("a"));
    assert_eq!(choose("v1", &["a"]), None);
    assert!(choose("v2", &["b"]).as_deref() == Some("c"));
    assert!(!table.has_other_target(at(0), SERVICE, &bound_to("v1"), &["a".to_owned()]));
    let missing = table.has_target(at(0), SERVICE, &bound_to("v3"));
    assert_eq!(missing, Err(RefusalCode::NoTargetOfVersion));
}

#[test]
fn former_versions_are_remembered_for_a_while() {
    // Guards against a stream whose version is guessed because no target of it is listed any more.

    // Arrange
    let mut table = table(&[("a", "v1"), ("b", "v1")]);

    // Act: one target is replaced under its name, the other one is delisted.
    table.list(
        at(1),
        Listed {
            incarnation: Some(2),
            ..listed("a", "v2")
        },
    );
    let during = versions(&table, at(1));
    table.unlist(at(2), "b", false);
    let soon = versions(&table, at(12));
    let later = versions(&table, at(13));

    // Assert
    let both = BTreeSet::from(["v1".to_owned(), "v2".to_owned()]);
    assert_eq!((&during, &soon), (&both, &both));
    assert_eq!(later, BTreeSet::from(["v2".to_owned()]));
}

#[test]
fn a_target_that_ended_gets_no_bound_call_until_its_next_entry() {
    // Guards against a stream that goes on at a target which is back under its name with other
    // software, while the list still shows the former entry.

    // Arrange
    let mut table = table(&[("a", "v1")]);
    let identity = table.choose(at(0), SERVICE, &Work::default(), &[]).unwrap();

    // Act
    table.note_ended(at(1), &identity.identity());
    let bound = table.choose(at(20), SERVICE, &bound_to("v1"), &[]);
    let unbound = table.choose(at(20), SERVICE, &Work::default(), &[]);
    table.list(
        at(21),
        Listed {
            incarnation: Some(2),
            ..listed("a", "v1")
        },
    );
    let relisted = table.choose(at(21), SERVICE, &bound_to("v1"), &[]);

    // Assert
    assert_eq!(bound, None);
    assert!(unbound.is_some());
    assert!(relisted.is_some());
}
