//! Tests of claims: a non-idempotent request runs at most once.

use std::time::Duration;

use assert_matches::assert_matches;
use damaskstile_core::prelude::*;
use damaskstile_requests::{ClaimEffect, ClaimShard, ClaimState};

const NOW: Duration = Duration::from_hours(500_000);
const RETENTION: Duration = Duration::from_hours(24);

fn shard(instance: &str) -> ClaimShard {
    ClaimShard::new(instance, RETENTION)
}

fn key(number: u64) -> String {
    let millis = u64::try_from(NOW.as_millis()).unwrap();
    format!(
        "{:08x}-{:04x}-7000-8000-{number:012x}",
        millis >> 16,
        millis & 0xFFFF
    )
}

fn first_write(effects: &[ClaimEffect]) -> Option<(Version, String)> {
    effects.iter().find_map(|effect| match effect {
        ClaimEffect::Write {
            expected_version,
            value,
        } => Some((*expected_version, value.clone())),
        _ => None,
    })
}

/// Claims a key, answers the read of the table with `stored`, and returns the effects that follow.
fn claim_with_table(shard: &mut ClaimShard, run: &str, stored: Option<Object>) -> Vec<ClaimEffect> {
    let mut effects = Vec::new();
    shard.claim(NOW, &key(1), &run.to_owned(), &mut effects);
    assert_matches!(effects[..], [ClaimEffect::Read]);
    effects.clear();
    shard.on_store(NOW, StoreAnswer::Found(stored), &mut effects);
    effects
}

#[test]
fn one_of_two_concurrent_claims_wins() {
    // Arrange
    let (mut one, mut two) = (shard("one"), shard("two"));
    let (version, value) = first_write(&claim_with_table(&mut one, "run-1", None)).unwrap();
    claim_with_table(&mut two, "run-2", None);
    assert_eq!(version, 0);

    // Act: the store accepts the first write and answers the second with a conflict.
    let mut first = Vec::new();
    one.on_store(NOW, StoreAnswer::Written { version: 1 }, &mut first);
    let existing = Object { version: 1, value };
    let mut second = Vec::new();
    two.on_store(NOW, StoreAnswer::Conflict(Some(existing)), &mut second);

    // Assert
    assert_matches!(&first[..], [ClaimEffect::Won { run }] if run == "run-1");
    assert_matches!(&second[..], [ClaimEffect::Repeated { run, claim }]
        if run == "run-2" && claim.instance == "one");
}

#[test]
fn a_claim_whose_store_answer_is_lost_fails_and_is_released() {
    // Guards against a request that is refused as not run while its key stays claimed for ever: the
    // write took effect, its answer was lost, and no second write releases the claim.

    // Arrange
    let mut shard = shard("one");
    let (_, value) = first_write(&claim_with_table(&mut shard, "run-1", None)).unwrap();

    // Act
    let mut lost = Vec::new();
    shard.on_store(NOW, StoreAnswer::Lost, &mut lost);
    let later = NOW + Duration::from_secs(1);
    let mut retried = Vec::new();
    shard.tick(later, &mut retried);
    let existing = Object { version: 1, value };
    let mut released = Vec::new();
    shard.on_store(later, StoreAnswer::Found(Some(existing)), &mut released);

    // Assert
    assert_matches!(&lost[..], [ClaimEffect::Failed { run }] if run == "run-1");
    let (version, value) = first_write(&released).unwrap();
    assert_eq!(version, 1);
    assert!(!value.contains("run-1"), "{value}");
}

#[test]
fn a_claim_queued_behind_a_conflict_is_answered_without_a_write() {
    // Guards against a caller that gets no answer. Three instances claim the same keys at once, and
    // a claim arrives while the shard's write is pending. After the conflict the table shows that
    // all keys are taken, so the batch needs no write; the queued claim must still be handled.

    // Arrange
    let mut shard = shard("one");
    let (_, value) = first_write(&claim_with_table(&mut shard, "run-1", None)).unwrap();
    let value = value.replace("run-1", "run-9").replace("one", "nine");
    let mut effects = Vec::new();
    shard.claim(NOW, &key(1), &"run-2".to_owned(), &mut effects);
    assert_eq!(effects, []);

    // Act
    let existing = Object { version: 5, value };
    shard.on_store(NOW, StoreAnswer::Conflict(Some(existing)), &mut effects);

    // Assert
    let repeated: Vec<&String> = effects
        .iter()
        .filter_map(|effect| match effect {
            ClaimEffect::Repeated { run, .. } => Some(run),
            _ => None,
        })
        .collect();
    assert_eq!(repeated, ["run-1", "run-2"]);
    assert!(shard.is_settled());
}

#[test]
fn waiting_claims_share_one_write() {
    // Arrange
    let mut shard = shard("one");
    let mut effects = Vec::new();
    for number in 0..100 {
        shard.claim(NOW, &key(number), &format!("run-{number}"), &mut effects);
    }
    effects.clear();

    // Act
    shard.on_store(NOW, StoreAnswer::Found(None), &mut effects);
    shard.on_store(NOW, StoreAnswer::Written { version: 1 }, &mut effects);
    shard.on_store(NOW, StoreAnswer::Written { version: 2 }, &mut effects);

    // Assert
    let count = |matches_kind: fn(&ClaimEffect) -> bool| {
        effects.iter().filter(|effect| matches_kind(effect)).count()
    };
    assert_eq!(
        count(|effect| matches!(effect, ClaimEffect::Won { .. })),
        100
    );
    assert_eq!(
        count(|effect| matches!(effect, ClaimEffect::Write { .. })),
        2
    );
}

#[test]
fn a_repeated_request_gets_the_outcome_of_the_finished_claim() {
    // Arrange
    let mut shard = shard("one");
    claim_with_table(&mut shard, "run-1", None);
    let mut effects = Vec::new();
    shard.on_store(NOW, StoreAnswer::Written { version: 1 }, &mut effects);
    let state = ClaimState::Answered {
        target: "t".to_owned(),
        prompt_tokens: 3,
        output_tokens: 0,
    };
    shard.finish(
        NOW,
        &key(1),
        &"run-1".to_owned(),
        state.clone(),
        &mut effects,
    );
    let due_at = shard.next_wake().unwrap();
    shard.tick(due_at, &mut effects);
    shard.on_store(NOW, StoreAnswer::Written { version: 2 }, &mut effects);
    effects.clear();

    // Act
    shard.claim(NOW, &key(1), &"run-2".to_owned(), &mut effects);

    // Assert
    assert_matches!(&effects[..], [ClaimEffect::Repeated { claim, .. }] if claim.state == state);
}
