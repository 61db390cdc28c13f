//! Cost of determining which cold targets an instance may send to.

use std::time::Instant;

use damaskstile_core::prelude::*;
use damaskstile_targets::{ColdLimit, Listed, TargetTable, TargetTableOptions, Work};

/// Instances and targets of the largest sweep.
const INSTANCES: u64 = 300;
const TARGETS: u64 = 3_000;
/// Time within which a starting fleet may meet, in an unoptimised build.
const LIMIT: Duration = Duration::from_secs(2);

#[test]
fn meeting_a_fleet_while_all_targets_are_cold_takes_little_time() {
    // Guards against a check of every pair of targets and instances for each instance that is met.

    // Arrange
    let mut table =
        TargetTable::new("north", TargetTableOptions::default()).for_instance("i", Duration::ZERO);
    let limit = ColdLimit {
        cold_time: Duration::from_secs(3),
        calls_per_s: Some(23.0),
    };
    table.set_cold_limits([("model".to_owned(), limit)].into());
    for index in 0..TARGETS {
        let listed = Listed {
            target: format!("t{index}"),
            incarnation: Some(1),
            service: "model".to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "north".to_owned(),
            slots_requests: 64,
            is_ready: true,
            software_version: "v1".to_owned(),
            weights: Vec::new(),
            cold_for: Duration::from_secs(3),
        };
        table.list(Duration::ZERO, listed);
    }

    // Act
    let began_at = Instant::now();
    for index in 0..INSTANCES {
        table.add_instance(&format!("i{index}"), INSTANCES);
    }
    let choice = table.choose(Duration::from_secs(2), "model", &Work::default(), &[]);
    let took = began_at.elapsed();

    // Assert
    assert!(choice.is_some());
    assert!(took < LIMIT, "{took:?}");
}
