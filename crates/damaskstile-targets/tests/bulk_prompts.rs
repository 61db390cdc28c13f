//! Bulk prompts beside urgent streams: which targets take them. The load test is in
//! damaskstile-gateway (`tests/bulk_load`), since it includes the queue.

use damaskstile_core::prelude::*;
use damaskstile_targets::{
    BulkRate, BulkUpdate, Choice, Listed, Part, TargetTable, TargetTableOptions, Work,
};

const SERVICE: &str = "model";
/// Load of 16 busy targets: 180 prompts a second of 90 ms each.
const FLEET_LOAD_MS: f64 = 16_200.0;
const TARGETS: usize = 60;
/// Time by which reports no longer count.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(9);

fn listed(index: usize) -> Listed {
    Listed {
        target: format!("t{index}"),
        incarnation: Some(1),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: format!("c{}", index % 3),
        slots_requests: 32,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

fn prompt(prefix: u64, shared_tokens: u64, call: u64, own_tokens: u64) -> Work {
    let part = |name, tokens| Part { name, tokens };
    Work {
        prompt_tokens: shared_tokens + own_tokens,
        parts: vec![
            part(prefix, shared_tokens),
            part(1_000_000 + call, own_tokens),
        ],
        ..Work::default()
    }
}

fn bulk(prefix: u64, call: u64) -> Work {
    Work {
        is_bulk: true,
        ..prompt(1_000 + prefix, 6_300, call, 2_890)
    }
}

fn urgent(prefix: u64, call: u64) -> Work {
    prompt(2_000 + prefix, 600, call, 200)
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn table(instance: &str, targets: usize) -> TargetTable {
    let options = TargetTableOptions {
        prefill_tokens_per_ms: 32.0,
        is_learning: false,
        ..TargetTableOptions::default()
    };
    let mut table = TargetTable::new("c0", options).for_instance(instance, Duration::ZERO);
    for index in 0..targets {
        table.list(Duration::ZERO, listed(index));
    }
    table
}

/// Makes the table of an instance that has received the load of the fleet from one other.
fn informed(instance: &str, load_ms: f64) -> TargetTable {
    let mut table = table(instance, TARGETS);
    table.set_instances(2);
    let rate = BulkRate {
        recent_ms: load_ms,
        lasting_ms: load_ms,
    };
    table.apply_bulk_loads(at(0), "other", &[(SERVICE.to_owned(), rate)]);
    table.update_bulk_targets(at(1));
    table
}

/// Returns the targets that a bulk prompt may go to before it costs more than elsewhere.
fn bulk_targets(table: &TargetTable, now: Duration) -> Vec<TargetId> {
    let mut tried = Vec::new();
    while tried.len() < table.bulk_targets(SERVICE) {
        let choice = table.choose(now, SERVICE, &bulk(1, 1), &tried).unwrap();
        tried.push(choice.target);
    }
    tried.sort();
    tried
}

#[test]
fn instances_with_slightly_different_reports_agree_on_most_targets() {
    // Guards against instances that send bulk prompts to targets that others keep for streams.

    // Arrange: sums that differ by up to a tenth.
    let tables = [95, 98, 100, 102, 105].map(|percent| {
        let load_ms = FLEET_LOAD_MS / 2.0 * f64::from(percent) / 100.0;
        informed(&format!("i{percent}"), load_ms)
    });

    // Act
    let chosen = tables.each_ref().map(|table| bulk_targets(table, at(2)));

    // Assert: at most a step apart, and the smaller set is part of the larger.
    for one in &chosen {
        for other in &chosen {
            let common = one.iter().filter(|target| other.contains(target)).count();
            assert_eq!(common, one.len().min(other.len()));
            assert_eq!(one.len(), other.len());
        }
    }
}

#[test]
fn services_without_yielding_calls_are_served_as_before() {
    // Guards against other selections where no route gives way to another one.

    // Arrange
    let mut with = table("i", TARGETS);
    let mut without = {
        let options = TargetTableOptions {
            bulk_ms: 0.0,
            prefill_tokens_per_ms: 32.0,
            is_learning: false,
            ..TargetTableOptions::default()
        };
        let mut table = TargetTable::new("c0", options).for_instance("i", Duration::ZERO);
        for index in 0..TARGETS {
            table.list(Duration::ZERO, listed(index));
        }
        table
    };
    let mut random = Random::new(5);

    for call in 0..500 {
        // Act: short, bulk-sized and long prompts, none of which yields.
        let now = at(call * 10);
        let own_tokens = [400, 2_890, 25_000][usize::try_from(random.below(3)).unwrap()];
        let part = |name, tokens| Part { name, tokens };
        let work = Work {
            prompt_tokens: 6_300 + own_tokens,
            parts: vec![part(random.below(9), 6_300), part(1_000 + call, own_tokens)],
            ..Work::default()
        };
        let choices = [&mut with, &mut without].map(|table| {
            assert_eq!(table.update_bulk_targets(now), BulkUpdate::default());
            assert_eq!(table.bulk_prefill(SERVICE, &work), None);
            let choice = table.choose(now, SERVICE, &work, &[]).unwrap();
            table.sent(now, &choice, &work);
            choice
        });

        // Assert
        assert_eq!(choices[0], choices[1]);
    }
}

#[test]
fn a_crashed_bulk_target_is_replaced_by_the_next_one() {
    // Guards against a crash that changes the targets of all bulk prompts, or leaves one missing.

    // Arrange
    let mut table = informed("i", FLEET_LOAD_MS / 2.0);
    let before = bulk_targets(&table, at(2));

    // Act
    let choice = table.choose(at(5), SERVICE, &bulk(1, 1), &[]).unwrap();
    let to_crashed = Choice {
        target: before[3].clone(),
        ..choice
    };
    table.unanswered(at(10), &to_crashed);
    table.update_bulk_targets(at(20));
    let after = bulk_targets(&table, at(20));

    // Assert
    assert_eq!(after.len(), before.len());
    assert!(!after.contains(&before[3]));
    let kept = before.iter().filter(|target| after.contains(target));
    assert_eq!(kept.count(), before.len() - 1);
}

#[test]
fn a_wrong_report_keeps_half_of_the_targets_at_most_and_for_seconds() {
    // Guards against one faulty instance that takes all targets from streams.

    // Arrange
    let mut table = informed("i", f64::MAX);

    // Act
    let at_once = table.bulk_targets(SERVICE);
    table.update_bulk_targets(FORGOTTEN_AFTER);

    // Assert
    assert_eq!(at_once, TARGETS / 2);
    assert_eq!(table.bulk_targets(SERVICE), 0);
    let choice = table.choose(FORGOTTEN_AFTER, SERVICE, &urgent(1, 1), &[]);
    assert!(choice.is_some());
}

#[test]
fn an_isolated_instance_sets_a_third_of_the_targets_apart_at_most() {
    // Guards against an instance with many callers that takes its own load for that of each other.

    // Arrange
    let mut table = table("i", TARGETS);
    table.set_instances(70);

    // Act
    table.note_bulk(at(0), SERVICE, at(5_000));
    table.update_bulk_targets(at(1));

    // Assert
    assert_eq!(table.bulk_targets(SERVICE), TARGETS / 3);
    assert_eq!(table.bulk_limit(SERVICE), Some(TARGETS / 6));
}

#[test]
fn an_absurd_number_of_prompt_tokens_has_a_bounded_prefill_time() {
    // Guards against a panic, with the state locked, for one call that states more tokens than any
    // target holds, once the time for pairs of tokens was learned.

    // Arrange: late first tokens of long prompts, as of engines with a time for pairs of tokens.
    let mut table = TargetTable::new("c0", TargetTableOptions::default());
    table.list(Duration::ZERO, listed(0));
    let work = |prompt_tokens| Work {
        prompt_tokens,
        is_bulk: true,
        ..Work::default()
    };
    for call in 0..200 {
        let tokens = 1_000 + call % 10 * 8_000;
        let now = Duration::from_secs(10 * call);
        let choice = table.choose(now, SERVICE, &work(tokens), &[]).unwrap();
        let took = Duration::from_millis(20 + tokens * tokens / 1_000_000);
        table.first_token(now, &choice, &work(tokens), took);
    }

    // Act
    let absurd = work(u64::MAX);
    let prefill = table.bulk_prefill(SERVICE, &absurd).unwrap();
    let choice = table.choose(at(3_000_000), SERVICE, &absurd, &[]).unwrap();
    let reported = table.prefill_to_report(&choice);

    // Assert
    assert_eq!(reported, Some(prefill));
    assert!(prefill >= Duration::from_mins(1) && prefill <= Duration::from_mins(10));
}
