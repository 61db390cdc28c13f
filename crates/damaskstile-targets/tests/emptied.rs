//! Data centres that operators evacuate, and home regions of calls.

use std::sync::Arc;

use assert_matches::assert_matches;
use damaskstile_core::prelude::*;
use damaskstile_targets::{ColdLimit, Listed, Part, TargetTable, TargetTableOptions, Work};

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

/// Makes a table with a target in each of two data centres, which are in different regions.
fn table() -> TargetTable {
    let regions = [("north", "upper"), ("south", "lower")];
    let regions = regions.map(|(data_centre, region)| (data_centre.to_owned(), region.to_owned()));
    let options = TargetTableOptions {
        empties_data_centres: true,
        regions: regions.into(),
        ..TargetTableOptions::default()
    };
    let mut table = TargetTable::new("north", options).for_instance("i", Duration::ZERO);
    table.list(at(0), listed("n", "north"));
    table.list(at(0), listed("s", "south"));
    table
}

fn names(names: &[&str]) -> BTreeSet<DataCentreId> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn chosen(table: &TargetTable, now: Duration, work: &Work) -> Option<TargetId> {
    let choice = table.choose(now, SERVICE, work, &[]);
    choice.map(|choice| choice.target)
}

fn work_of(home_regions: &[&str]) -> Work {
    let home_regions = home_regions.iter().map(|home| (*home).to_owned()).collect();
    Work {
        home_regions: Some(Arc::new(home_regions)),
        ..Work::default()
    }
}

#[test]
fn nothing_is_sent_before_the_evacuated_data_centres_are_known() {
    // Guards against an instance that starts and sends to an evacuated data centre before it learns
    // of the evacuation.

    // Arrange
    let mut table = table();

    // Act
    let before = chosen(&table, at(10), &Work::default());
    table.apply_evacuations(at(20), 5, &BTreeSet::new());
    let after = chosen(&table, at(30), &Work::default());

    // Assert
    assert_eq!(before, None);
    assert!(after.is_some());
}

#[test]
fn an_older_update_neither_adds_nor_removes_an_evacuation() {
    // Guards against digests of instances that lag.

    // Arrange
    let mut table = table();
    table.apply_evacuations(at(10), 5, &names(&["north"]));

    // Act
    let older = table.apply_evacuations(at(20), 4, &BTreeSet::new());
    let evacuated = chosen(&table, at(20), &Work::default());
    table.apply_evacuations(at(30), 6, &BTreeSet::new());
    let late = table.apply_evacuation_changes(at(40), 6, &[("south".to_owned(), true)]);

    // Assert
    assert!(older.is_empty());
    assert_eq!(evacuated.as_deref(), Some("s"));
    assert!(late.is_empty());
    assert!(!table.evacuations().covers("south"));
}

#[test]
fn evacuations_apply_to_waiting_calls_and_to_fetches() {
    // Guards against a call that was waiting for its connection when the data centre was evacuated,
    // and against a fetch of cached parts from an evacuated data centre.

    // Arrange
    let mut table = table();
    table.apply_evacuations(at(10), 5, &BTreeSet::new());
    let part = |name| Part {
        name,
        tokens: 4_000,
    };
    let work = Work {
        prompt_tokens: 8_000,
        parts: vec![part(1), part(2)],
        ..Work::default()
    };
    let choice = table
        .choose(at(20), SERVICE, &work, &["s".to_owned()])
        .unwrap();
    table.sent(at(20), &choice, &work);

    // Act
    table.apply_evacuations(at(30), 6, &names(&["north"]));
    let is_sent = table.claim_send(at(40), &choice.identity());
    let next = table.choose(at(50), SERVICE, &work, &[]).unwrap();

    // Assert
    assert!(!is_sent);
    assert_eq!((next.target.as_str(), next.fetch_from), ("s", None));
}

#[test]
fn targets_of_a_data_centre_that_is_taken_back_are_cold() {
    // Guards against a whole data centre that returns cold and looks idle to all instances.

    // Arrange
    let mut table = table();
    let limit = ColdLimit {
        cold_time: at(3_000),
        calls_per_s: Some(10.0),
    };
    table.set_cold_limits([(SERVICE.to_owned(), limit)].into());
    table.apply_evacuations(at(10), 5, &names(&["north"]));

    // Act
    table.apply_evacuations(at(9_000), 6, &BTreeSet::new());

    // Assert
    assert_eq!(table.cold_for(at(9_000), "n"), at(3_000));
    assert_eq!(table.cold_for(at(9_000), "s"), at(0));
}

#[test]
fn calls_are_refused_with_the_reason_where_no_region_may_run_them() {
    // Arrange
    let mut table = table();
    table.apply_evacuations(at(10), 5, &BTreeSet::new());

    // Act
    let lower = chosen(&table, at(20), &work_of(&["lower"]));
    let unknown = table.has_target(at(20), SERVICE, &work_of(&["nowhere"]));
    let none = table.has_target(at(20), SERVICE, &work_of(&[]));
    table.apply_evacuations(at(30), 6, &names(&["north", "south", "elsewhere"]));
    let all_evacuated = table.has_target(at(40), SERVICE, &Work::default());

    // Assert
    assert_eq!(lower.as_deref(), Some("s"));
    assert_matches!(unknown, Err(RefusalCode::NoTargetInRegion));
    assert_matches!(none, Err(RefusalCode::NoTargetInRegion));
    assert_matches!(all_evacuated, Err(RefusalCode::NoTarget));
}
