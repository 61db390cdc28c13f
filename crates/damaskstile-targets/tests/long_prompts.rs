//! Long prompts among other calls: where they go, which peers learn of them, and what is fetched.
//!
//! The load is that of twelve engines that prefill some 60 tokens in a millisecond: prompts of
//! 20,000 tokens and more, about one a second in the fleet, beside short questions.

use std::sync::atomic::{AtomicU64, Ordering};

use damaskstile_core::prelude::*;
use damaskstile_targets::{Choice, Listed, Part, TargetTable, TargetTableOptions, Work};

const SERVICE: &str = "model";
const TARGETS: u16 = 12;
const INSTANCES: usize = 7;
const LONG_TOKENS: u64 = 25_000;
const SHORT_TOKENS: u64 = 800;

fn listed(index: u16, incarnation: Option<TargetIncarnation>) -> Listed {
    Listed {
        target: format!("t{index}"),
        incarnation,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 1_000 + index).into(),
        data_centre: "north".to_owned(),
        slots_requests: 64,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

fn table(targets: u16) -> TargetTable {
    let mut table = TargetTable::new("north", TargetTableOptions::default());
    for index in 0..targets {
        table.list(Duration::ZERO, listed(index, None));
    }
    table
}

fn fleet() -> Vec<TargetTable> {
    let mut tables: Vec<TargetTable> = (0..INSTANCES).map(|_| table(TARGETS)).collect();
    for table in &mut tables {
        table.set_instances(u64::try_from(INSTANCES).unwrap());
    }
    tables
}

/// Makes a prompt of a shared prefix and an own part, which no other call has.
fn prompt(prefix: u64, shared_tokens: u64, own_tokens: u64) -> Work {
    static CALLS: AtomicU64 = AtomicU64::new(1_000_000);
    let own = CALLS.fetch_add(1, Ordering::Relaxed);
    let part = |name, tokens| Part { name, tokens };
    Work {
        prompt_tokens: shared_tokens + own_tokens,
        output_tokens: 300,
        parts: vec![part(prefix, shared_tokens), part(own, own_tokens)],
        ..Work::default()
    }
}

fn long(prefix: u64) -> Work {
    prompt(1_000 + prefix, 5_000, LONG_TOKENS)
}

fn short(prefix: u64) -> Work {
    prompt(prefix, 200, SHORT_TOKENS)
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Sends a call to its target, where it stays open.
fn send(table: &mut TargetTable, ms: u64, work: &Work) -> Choice {
    let choice = table.choose(at(ms), SERVICE, work, &[]).unwrap();
    table.sent(at(ms), &choice, work);
    choice
}

/// Sends a call to its target, which answers it at once.
fn serve(table: &mut TargetTable, ms: u64, work: &Work) -> Choice {
    let choice = send(table, ms, work);
    table.prefilled(&choice);
    table.ended(&choice);
    choice
}

#[test]
fn other_targets_fetch_what_the_affinity_target_caches() {
    // Guards against a fortieth of the value of prompts that goes into repeated prefill of shared
    // parts. The affinity target of a prefix is busy and its next call goes elsewhere; that target
    // must fetch the parts from the affinity target instead of prefilling them again.

    // Arrange: the affinity target prefills a prompt of 25,000 tokens with another prefix.
    let mut table = table(TARGETS);
    let work = prompt(7, 5_000, 1_000);
    let affinity_target = serve(&mut table, 0, &work);
    table.apply_prefill_report(at(10), &affinity_target.identity(), at(1_000));

    // Act
    let other = table.choose(at(20), SERVICE, &work, &[]).unwrap();

    // Assert
    assert_ne!(other.target, affinity_target.target);
    assert_eq!(affinity_target.fetch_from, None);
    assert_eq!(other.fetch_from, Some(affinity_target.address));
    assert!(other.uncached_tokens < 1_500, "{other:?}");
}

#[test]
fn nothing_is_fetched_from_a_target_that_fails() {
    // Arrange
    let mut table = table(TARGETS);
    let work = prompt(7, 5_000, 1_000);
    let affinity_target = serve(&mut table, 0, &work);

    // Act
    table.failed(at(10), &affinity_target);
    table.failed(at(10), &affinity_target);
    let other = table.choose(at(20), SERVICE, &work, &[]).unwrap();

    // Assert
    assert_ne!(other.target, affinity_target.target);
    assert_ne!(other.fetch_from, Some(affinity_target.address));
}

#[test]
fn peers_avoid_a_target_with_a_reported_long_prompt_during_its_prefill() {
    // Guards against first tokens of short calls that come half a second late. One instance sends a
    // long prompt, and another a short call to the same target, of which it knows only what it sent
    // itself.

    // Arrange
    let mut tables = fleet();
    let work = short(3);
    let usual = serve(&mut tables[1], 0, &work);
    let reading = Choice {
        prefill_ms: 500.0,
        ..usual.clone()
    };
    let time = tables[0].prefill_to_report(&reading).unwrap();

    // Act
    tables[1].apply_prefill_report(at(100), &usual.identity(), time);
    let meanwhile = tables[1].choose(at(110), SERVICE, &work, &[]).unwrap();
    let afterwards = tables[1]
        .choose(at(110) + time, SERVICE, &work, &[])
        .unwrap();

    // Assert
    assert_ne!(meanwhile.target, usual.target);
    assert_eq!(afterwards.target, usual.target);
}

#[test]
fn short_prompts_are_not_reported() {
    // Arrange
    let mut table = table(TARGETS);

    // Act
    let choice = send(&mut table, 0, &short(3));

    // Assert
    assert_eq!(table.prefill_to_report(&choice), None);
}

#[test]
fn outdated_or_wrong_prefill_reports_cost_seconds_at_most() {
    // Arrange: one target, which is always selected in the end.
    let mut table = TargetTable::new("north", TargetTableOptions::default());
    table.list(Duration::ZERO, listed(0, Some(5)));
    let work = short(3);
    let usual = table.choose(at(0), SERVICE, &work, &[]).unwrap();

    // Act: report an incarnation that has ended; report a time of years, again and again.
    let ended = TargetIdentity::new("t0", Some(4));
    table.apply_prefill_report(at(0), &ended, at(5_000));
    let unmoved = table.choose(at(1), SERVICE, &work, &[]).unwrap();
    for _ in 0..1_000 {
        table.apply_prefill_report(at(2), &usual.identity(), Duration::MAX);
    }
    let held = table.choose(at(2), SERVICE, &work, &[]).unwrap();
    let later = table.choose(at(4_000), SERVICE, &work, &[]).unwrap();

    // Assert
    assert!((unmoved.cost_ms - usual.cost_ms).abs() < 1.0);
    assert!(held.cost_ms < 4_000.0, "{held:?}");
    assert!((later.cost_ms - usual.cost_ms).abs() < 1.0);
}

/// Simulates a minute: a long prompt a second and forty short calls, each at a random instance.
/// Returns how many calls of each kind each target received in the last half.
fn simulate_a_minute(
    tables: &mut [TargetTable],
) -> (BTreeMap<TargetId, u64>, BTreeMap<TargetId, u64>) {
    let mut random = Random::new(5);
    let (mut of_long, mut of_short) = (BTreeMap::new(), BTreeMap::new());
    for tick in 0..2_400_u64 {
        let ms = tick * 25;
        let is_long = tick % 40 == 0;
        let prefix = random.below(50);
        let work = if is_long { long(prefix) } else { short(prefix) };
        let index = random.index(tables.len());
        let choice = serve(&mut tables[index], ms, &work);
        let counts = if is_long { &mut of_long } else { &mut of_short };
        if ms >= 30_000 {
            *counts.entry(choice.target).or_default() += 1;
        }
    }
    (of_long, of_short)
}

#[test]
fn long_prompts_share_few_targets_and_short_calls_avoid_them() {
    // Guards against one answer in fifteen that comes late because its stream pauses longer than
    // its route promises. A prompt of 25,000 tokens is prefilled in chunks between the tokens of
    // seven streams at its target, if such prompts go to all targets alike.

    // Arrange
    let mut tables = fleet();

    // Act
    let (of_long, of_short) = simulate_a_minute(&mut tables);

    // Assert: the instances agree without any message, from the load that each sees.
    let is_for_long = |target: &TargetId| of_long.contains_key(target);
    assert!(of_long.len() <= 4, "{of_long:?}");
    let beside: u64 = of_short
        .iter()
        .filter(|(target, _)| is_for_long(target))
        .map(|(_, calls)| calls)
        .sum();
    let all: u64 = of_short.values().sum();
    assert!(
        beside * 20 < all,
        "{beside} of {all}: {of_long:?}, {of_short:?}"
    );
}

#[test]
fn no_target_is_reserved_where_no_prompt_is_long() {
    // Arrange
    let mut tables = fleet();
    let mut used = BTreeSet::new();

    // Act
    for prefix in 0..400 {
        let choice = serve(&mut tables[0], prefix * 20, &short(prefix));
        used.insert(choice.target);
    }

    // Assert
    assert_eq!(used.len(), usize::from(TARGETS));
}

#[test]
fn a_reserved_target_serves_short_calls_once_the_others_are_busy() {
    // Arrange
    let mut tables = fleet();
    let (of_long, _) = simulate_a_minute(&mut tables);
    let mut used = BTreeSet::new();

    // Act: a burst in which no call ends.
    for call in 0..800 {
        used.insert(send(&mut tables[0], 60_000, &short(call)).target);
    }

    // Assert
    assert!(
        of_long.keys().all(|target| used.contains(target)),
        "{used:?}"
    );
}

#[test]
fn reservations_end_once_no_prompt_is_long_any_more() {
    // Arrange
    let mut tables = fleet();
    let (of_long, _) = simulate_a_minute(&mut tables);
    let mut used = BTreeSet::new();

    // Act: minutes later.
    for call in 0..800 {
        let ms = 600_000 + call * 20;
        used.insert(serve(&mut tables[0], ms, &short(call)).target);
    }

    // Assert
    assert_eq!(used.len(), usize::from(TARGETS), "{of_long:?}");
}

#[test]
fn an_occasional_long_prompt_leaves_no_target_idle() {
    // Guards against answers that come later with reserved targets than without. With one long
    // prompt a minute in a fleet of nine targets, rounding the number of reserved targets up leaves
    // one of nine idle.

    // Arrange
    let mut tables = fleet();
    let mut used = BTreeSet::new();

    // Act
    serve(&mut tables[0], 0, &long(1));
    for call in 0..800 {
        used.insert(serve(&mut tables[0], 10_000 + call * 20, &short(call)).target);
    }

    // Assert
    assert_eq!(used.len(), usize::from(TARGETS));
}

#[test]
fn long_prompts_of_one_service_reserve_no_target_of_another() {
    // Guards against calls of a plain service that wait while one of its four targets is idle. If
    // the load of long prompts were counted for all services together, targets of each service
    // would be reserved.

    // Arrange
    let mut tables = fleet();
    for index in 0..4 {
        let target = Listed {
            target: format!("p{index}"),
            service: "plain".to_owned(),
            ..listed(100 + index, None)
        };
        tables[0].list(Duration::ZERO, target);
    }
    simulate_a_minute(&mut tables);
    let mut used = BTreeSet::new();

    // Act
    for call in 0..8 {
        let work = Work::default();
        let choice = tables[0].choose(at(60_000 + call), "plain", &work, &[]);
        let choice = choice.unwrap();
        tables[0].sent(at(60_000 + call), &choice, &work);
        used.insert(choice.target);
    }

    // Assert
    assert_eq!(used.len(), 4, "{used:?}");
}
