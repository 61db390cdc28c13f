//! Reports on leaving targets, where a thousand leave at once.

use damaskstile_core::prelude::*;
use damaskstile_targets::{Listed, TargetTable, TargetTableOptions};

/// Targets of a data centre of the largest deployment.
const TARGETS: usize = 1_000;
/// Reports of each kind that a digest may hold.
const REPORTS_MAX: usize = 32;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(index: usize, is_ready: bool) -> Listed {
    Listed {
        target: format!("t{index:04}"),
        incarnation: Some(1),
        service: "model".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        slots_requests: 64,
        is_ready,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

#[test]
fn the_loss_of_a_data_centre_does_not_fill_digests() {
    // Guards against digests of tens of kilobytes, from each instance to ten others, twice a
    // second.

    // Arrange
    let mut table = TargetTable::new("north", TargetTableOptions::default());
    for index in 0..TARGETS {
        table.list(at(0), listed(index, true));
    }

    // Act
    for index in 0..TARGETS {
        let ms = u64::try_from(index).unwrap();
        if index % 2 == 0 {
            table.unlist(at(ms), &format!("t{index:04}"), false);
        } else {
            table.list(at(ms), listed(index, false));
        }
    }

    // Assert: the newest departures are reported.
    let now = at(1_100);
    let (delisted, draining) = (table.delisted(now), table.draining(now));
    assert!(delisted.len() <= REPORTS_MAX && draining.len() <= REPORTS_MAX);
    assert_eq!(delisted[0].target, "t0998");
    assert_eq!(draining[0].target, "t0999");
}
