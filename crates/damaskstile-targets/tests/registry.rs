//! Tests of the registry and the queue: which targets may receive requests, and in which order.

use std::time::Duration;

use assert_matches::assert_matches;
use damaskstile_core::peer::TargetNote;
use damaskstile_core::prelude::*;
use damaskstile_targets::registry::Choice;
use damaskstile_targets::{Queue, Queued, Registry, RegistryOptions};

const NOW: Duration = Duration::from_hours(500_000);

fn info(name: &str, is_leaving: bool) -> TargetInfo {
    TargetInfo {
        target: name.to_owned(),
        address: format!("at-{name}"),
        service: "chat".to_owned(),
        data_centre: String::new(),
        is_leaving,
    }
}

fn status(is_leaving: bool) -> TargetStatus {
    TargetStatus {
        is_leaving,
        in_flight_requests: 0,
        slots_requests: 2,
        age_ms: 0,
    }
}

/// Makes a registry with one target that has just reported that it stays.
fn registry() -> Registry {
    let mut registry = Registry::new("one", RegistryOptions::default(), 1);
    registry.set_targets(vec![info("t", false)]);
    registry.on_status(NOW, &"t".to_owned(), Some(&status(false)));
    registry
}

fn choose(registry: &mut Registry, after: Duration) -> Choice {
    registry.choose(NOW + after, "chat", &BTreeSet::new())
}

#[test]
fn a_target_without_fresh_evidence_gets_nothing() {
    let mut registry = registry();

    assert_matches!(
        choose(&mut registry, Duration::from_secs(2)),
        Choice::Target { .. }
    );
    assert_eq!(choose(&mut registry, Duration::from_secs(4)), Choice::Wait);
}

#[test]
fn a_target_that_was_never_probed_gets_nothing() {
    let mut registry = Registry::new("one", RegistryOptions::default(), 1);
    registry.set_targets(vec![info("t", false)]);

    assert_eq!(choose(&mut registry, Duration::ZERO), Choice::Wait);
}

#[test]
fn any_report_that_a_target_leaves_is_enough() {
    // By its own report.
    let mut by_itself = registry();
    by_itself.on_status(
        NOW + Duration::from_secs(1),
        &"t".to_owned(),
        Some(&status(true)),
    );
    assert_eq!(
        choose(&mut by_itself, Duration::from_secs(1)),
        Choice::NoTarget
    );

    // By the platform's list.
    let mut by_list = registry();
    by_list.set_targets(vec![info("t", true)]);
    assert_eq!(
        choose(&mut by_list, Duration::from_secs(1)),
        Choice::NoTarget
    );

    // By a peer's newer report.
    let mut by_peer = registry();
    let note = TargetNote {
        target: "t".to_owned(),
        is_leaving: true,
        age_ms: 100,
    };
    by_peer.on_note(NOW + Duration::from_secs(1), &note);
    assert_eq!(
        choose(&mut by_peer, Duration::from_secs(1)),
        Choice::NoTarget
    );
}

#[test]
fn an_older_report_of_a_peer_does_not_count() {
    let mut registry = registry();
    let note = TargetNote {
        target: "t".to_owned(),
        is_leaving: true,
        age_ms: 5_000,
    };

    registry.on_note(NOW + Duration::from_secs(1), &note);

    assert_matches!(
        choose(&mut registry, Duration::from_secs(1)),
        Choice::Target { .. }
    );
}

#[test]
fn another_process_under_a_targets_name_is_probed_anew() {
    let mut registry = registry();
    let moved = TargetInfo {
        address: "elsewhere".to_owned(),
        ..info("t", false)
    };

    registry.set_targets(vec![moved]);

    assert_eq!(choose(&mut registry, Duration::ZERO), Choice::Wait);
}

#[test]
fn a_target_that_is_full_gets_nothing_more() {
    let mut registry = registry();
    for _ in 0..4 {
        registry.started(NOW, &"t".to_owned());
    }

    assert_eq!(choose(&mut registry, Duration::ZERO), Choice::Wait);
    registry.ended(&"t".to_owned(), None);
    assert_matches!(choose(&mut registry, Duration::ZERO), Choice::Target { .. });
}

fn queued(run: &str, account: &str, priority: Priority) -> Queued {
    Queued {
        run: run.to_owned(),
        account: account.to_owned(),
        service: "chat".to_owned(),
        priority,
        until: NOW,
    }
}

#[test]
fn status_checks_go_before_drafts_and_displace_them() {
    // Arrange
    let mut queue = Queue::new();
    queue
        .push(queued("draft-1", "a", Priority::Bulk), 2)
        .unwrap();
    queue
        .push(queued("draft-2", "a", Priority::Bulk), 2)
        .unwrap();

    // Act
    let displaced = queue
        .push(queued("check", "a", Priority::Urgent), 2)
        .unwrap();

    // Assert
    assert_eq!(displaced.unwrap().run, "draft-2");
    assert_eq!(queue.next("chat", |_| 0).unwrap().run, "check");
    assert_eq!(queue.next("chat", |_| 0).unwrap().run, "draft-1");
}

#[test]
fn the_account_with_least_in_flight_is_next() {
    let mut queue = Queue::new();
    queue
        .push(queued("large", "a", Priority::Normal), 9)
        .unwrap();
    queue
        .push(queued("small", "b", Priority::Normal), 9)
        .unwrap();

    let next = queue.next("chat", |account| if account == "a" { 5 } else { 0 });

    assert_eq!(next.unwrap().run, "small");
}
