//! Calls that simulated fleets send to brittle targets, which fail if they reject too many.

use damaskstile_core::prelude::*;
use damaskstile_targets::{
    AdvertisedLimit, Choice, Listed, ReportedLoad, TargetTable, TargetTableOptions, Work,
};

const SERVICE: &str = "portal";
/// Time between two steps of a simulation.
const STEP_MS: u64 = 5;
/// Time that a call takes at its target.
const WORK_MS: u64 = 60;
/// Time on the way to a target and back.
const TRIP_MS: u64 = 5;
/// Time after the first answer from which on the limit must be kept.
const KEPT_AFTER_MS: u64 = 3_000;
/// End of a simulation.
const END_MS: u64 = 7_000;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A fleet and the targets of one service.
#[derive(Debug, Clone, Copy)]
struct Shape {
    instances: usize,
    targets: usize,
    slots: u64,
    /// Rejected calls a second that a target withstands.
    rejections_per_s: f64,
    /// Calls that arrive, in percent of what all targets can run.
    load_percent: u64,
}

/// What a simulation has found.
#[derive(Debug, Default)]
struct Outcome {
    /// Most calls that a target rejected within a second.
    rejected_max: usize,
    /// Calls that arrived, and those that were run, in the time that counts.
    arrived: usize,
    ran: usize,
}

fn listed(target: &str, slots: u64) -> Listed {
    Listed {
        target: target.to_owned(),
        incarnation: Some(1),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        slots_requests: slots,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

fn tables(shape: Shape) -> Vec<TargetTable> {
    let name = |index: usize| format!("i{index}");
    let tables = (0..shape.instances).map(|own| {
        let mut table = TargetTable::new("north", TargetTableOptions::default());
        table = table.for_instance(&name(own), Duration::ZERO);
        for other in 0..shape.instances {
            table.add_instance(&name(other), shape.instances as u64);
        }
        for target in 0..shape.targets {
            table.list(at(0), listed(&format!("t{target}"), shape.slots));
        }
        table
    });
    tables.collect()
}

/// Lets calls arrive at random instances; the targets answer them or reject them at once, and state
/// their load and limit in all answers.
fn play(shape: Shape, seed: u64) -> Outcome {
    let mut random = Random::new(seed);
    let mut tables = tables(shape);
    let mut running: BTreeMap<TargetId, u64> = BTreeMap::new();
    // Answers by the time at which they arrive: instance, call, and whether it was rejected.
    let mut answers: BTreeMap<(u64, u64), (usize, Choice, bool)> = BTreeMap::new();
    let mut rejected: BTreeMap<TargetId, Vec<u64>> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let mut next = 0_u64;
    let slots = shape.targets as u64 * shape.slots;
    let calls_per_s = slots * 1_000 / WORK_MS * shape.load_percent / 100;
    for now in (2_000..END_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
        let due: Vec<(u64, u64)> = answers.range(..(now, 0)).map(|(key, _)| *key).collect();
        for key in due {
            let (instance, choice, is_rejected) = answers.remove(&key).unwrap();
            let table = &mut tables[instance];
            let target = choice.identity();
            if is_rejected {
                table.rejected(at(now), &target);
            } else {
                *running.get_mut(&choice.target).unwrap() -= 1;
            }
            table.ended(&choice);
            let load = ReportedLoad {
                running: running.get(&choice.target).copied().unwrap_or_default(),
                waiting: 0,
                slots: Some(shape.slots),
                machine_percent: None,
            };
            table.report(at(now), &choice, load);
            let stated = AdvertisedLimit::CallsPerS(shape.rejections_per_s);
            table.apply_rejection_limit(at(now), SERVICE, at(now), stated);
        }
        let counts = now >= 2_000 + KEPT_AFTER_MS;
        let per_mille = calls_per_s * STEP_MS;
        let calls = per_mille / 1_000 + u64::from(random.below(1_000) < per_mille % 1_000);
        for _ in 0..calls {
            let instance = random.index(shape.instances);
            let table = &mut tables[instance];
            outcome.arrived += usize::from(counts);
            let work = Work::default();
            let Some(choice) = table.choose(at(now), SERVICE, &work, &[]) else {
                continue;
            };
            table.sent(at(now), &choice, &work);
            let runs = running.entry(choice.target.clone()).or_default();
            let is_rejected = *runs >= shape.slots;
            let took_ms = if is_rejected { 0 } else { WORK_MS };
            if is_rejected {
                let times = rejected.entry(choice.target.clone()).or_default();
                times.push(now);
            } else {
                *runs += 1;
                outcome.ran += usize::from(counts);
            }
            next += 1;
            let key = (now + TRIP_MS + took_ms, next);
            answers.insert(key, (instance, choice, is_rejected));
        }
    }
    for times in rejected.values() {
        let late = times.iter().filter(|ms| **ms >= 2_000 + KEPT_AFTER_MS);
        let late: Vec<u64> = late.copied().collect();
        let within = |begin: &u64| {
            let span = *begin..*begin + 1_000;
            late.iter().filter(|ms| span.contains(ms)).count()
        };
        let most = late.iter().map(within).max().unwrap_or(0);
        outcome.rejected_max = outcome.rejected_max.max(most);
    }
    outcome
}

#[test]
fn a_fleet_keeps_the_rejections_of_brittle_targets_within_their_limit() {
    // Guards against instances that keep a limit each by itself, so that all together exceed it.

    // Arrange
    let shapes = [
        (3, 4, 8),
        (7, 4, 6),
        (7, 18, 64),
        (9, 3, 6),
        (86, 40, 12),
        (295, 30, 16),
    ];
    for (instances, targets, slots) in shapes {
        for (rejections_per_s, load_percent) in [(2.0, 150), (5.0, 150), (20.0, 150), (5.0, 30)] {
            let shape = Shape {
                instances,
                targets,
                slots,
                rejections_per_s,
                load_percent,
            };

            // Act
            let outcome = play(shape, 7);

            // Assert
            #[allow(clippy::cast_precision_loss)] // a few calls
            let rejected_max = outcome.rejected_max as f64;
            assert!(rejected_max <= rejections_per_s, "{shape:?} {outcome:?}");
            assert!(outcome.ran > 0, "{shape:?} {outcome:?}");
        }
    }
}

#[test]
fn a_light_load_is_served_by_brittle_targets_with_fewer_slots_than_instances() {
    // Guards against instances that may send to no target because the slots do not suffice for all.

    // Arrange
    let shape = Shape {
        instances: 86,
        targets: 4,
        slots: 6,
        rejections_per_s: 5.0,
        load_percent: 30,
    };

    // Act
    let outcome = play(shape, 7);

    // Assert
    assert!(outcome.rejected_max <= 5, "{outcome:?}");
    assert!(outcome.ran * 10 >= outcome.arrived * 9, "{outcome:?}");
}
