//! Calls that expect a version of their model's weights.

use std::time::Duration;

use damaskstile_core::prelude::RefusalCode;
use damaskstile_targets::{ExpectedWeights, Listed, TargetTable, TargetTableOptions, Work};

const SERVICE: &str = "model";
const NOW: Duration = Duration::ZERO;

/// Returns a table of targets with the given versions of the weights of model `m`; 0 for unknown
/// ones.
fn table(targets: &[(&str, u64)]) -> TargetTable {
    let mut table = TargetTable::new("north", TargetTableOptions::default());
    let all = targets.iter().map(|(target, version)| {
        let weights = Some(("m".to_owned(), *version)).filter(|_| *version > 0);
        Ok(Listed {
            target: (*target).to_owned(),
            incarnation: Some(1),
            service: SERVICE.to_owned(),
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: "north".to_owned(),
            slots_requests: 64,
            software_version: "v1".to_owned(),
            weights: weights.into_iter().collect(),
            is_ready: true,
            cold_for: Duration::ZERO,
        })
    });
    table.list_all(NOW, all.collect(), false);
    table
}

fn expecting(model: Option<&str>, version: Option<u64>) -> Work {
    let model = model.map(str::to_owned);
    Work {
        weights: Some(ExpectedWeights { model, version }),
        ..Work::default()
    }
}

#[test]
fn a_call_goes_only_to_targets_that_may_have_the_weights_that_it_expects() {
    // Guards against calls that are sent to targets which refuse them.

    // Arrange
    let table = table(&[("a", 1), ("b", 2), ("c", 2)]);

    // Act
    let choose = |work: &Work, tried: &[&str]| {
        let tried: Vec<String> = tried.iter().map(|target| (*target).to_owned()).collect();
        let choice = table.choose(NOW, SERVICE, work, &tried);
        choice.map(|choice| choice.target)
    };
    let first = expecting(Some("m"), Some(1));

    // Assert
    assert_eq!(choose(&first, &[]).as_deref(), Some("a"));
    assert_eq!(choose(&first, &["a"]), None);
    assert_eq!(
        choose(&expecting(None, Some(2)), &["b"]).as_deref(),
        Some("c")
    );
    assert!(choose(&expecting(Some("m"), None), &[]).is_some());
    assert!(choose(&expecting(Some("another"), Some(9)), &[]).is_some());
}

#[test]
fn a_refusal_names_the_weights_only_if_no_target_can_have_them() {
    // Guards against callers that are told that no target has what they expect while one is busy,
    // or while the list does not state the weights.

    // Arrange
    let known = table(&[("a", 1), ("b", 2)]);
    let partly_known = table(&[("a", 1), ("b", 0)]);
    let missing = expecting(Some("m"), Some(3));

    // Act
    let of_known = known.has_target(NOW, SERVICE, &missing);
    let of_partly_known = partly_known.has_target(NOW, SERVICE, &missing);

    // Assert
    assert_eq!(of_known, Err(RefusalCode::NoTargetOfWeights));
    assert_eq!(of_partly_known, Ok(()));
}

#[test]
fn weights_of_a_target_that_is_listed_anew_count() {
    // Guards against calls that are refused because of weights that a target no longer has.

    // Arrange
    let mut table = table(&[("a", 1)]);
    let newer = Listed {
        weights: vec![("m".to_owned(), 2)],
        ..table.present_entry("a").unwrap().clone()
    };

    // Act
    table.list_all(NOW, vec![Ok(newer)], false);

    // Assert
    let expects = |version| expecting(Some("m"), Some(version));
    assert_eq!(table.has_target(NOW, SERVICE, &expects(2)), Ok(()));
    let former = table.has_target(NOW, SERVICE, &expects(1));
    assert_eq!(former, Err(RefusalCode::NoTargetOfWeights));
}
