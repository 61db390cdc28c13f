//! Cost of a selection as the list grows, and how calls spread over targets that cost the same.

use std::time::Instant;

use damaskstile_core::prelude::*;
use damaskstile_targets::{
    BulkRate, Listed, Part, ReportedLoad, SpeedReport, TargetTable, TargetTableOptions, Work,
};

const MODEL: &str = "model";
const PORTAL: &str = "portal";
const DATA_CENTRES: [&str; 5] = ["c0", "c1", "c2", "c3", "c4"];
/// Targets of a usual fleet, and of one that is twice as large as any.
const FEW: usize = 500;
const MANY: usize = 20_000;
/// Calls of one instance of a large fleet, one a second.
const CALLS: u64 = 60;
/// Calls of an instance that receives forty a second, the time between two, and those open at once.
const BUSY_CALLS: u64 = 400;
const BUSY_GAP: Duration = Duration::from_millis(25);
const OPEN_CALLS: usize = 30;
/// Tokens of a long prompt beyond those of other prompts.
const LONG_TOKENS: u64 = 25_000;
/// How many times more candidates may be examined among many targets than among few.
const GROWTH_MAX: f64 = 1.5;

fn listed(service: &str, index: usize) -> Listed {
    Listed {
        target: format!("{service}-{index}"),
        incarnation: Some(1),
        service: service.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
        slots_requests: 16,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

fn table(instance: &str, models: usize, portals: usize) -> TargetTable {
    let mut table = TargetTable::new("c0", TargetTableOptions::default())
        .for_instance(instance, Duration::ZERO);
    for index in 0..models {
        table.list(Duration::ZERO, listed(MODEL, index));
    }
    for index in 0..portals {
        table.list(Duration::ZERO, listed(PORTAL, index));
    }
    table
}

/// Makes a prompt with a beginning that many share, a shared prefix of its subject and an own part.
fn prompt(prefix: u64, call: u64) -> Work {
    let part = |name, tokens| Part { name, tokens };
    Work {
        prompt_tokens: 9_000,
        output_tokens: 100,
        parts: vec![
            part(1, 2_500),
            part(1_000 + prefix, 3_800),
            part(1_000_000 + call, 2_700),
        ],
        ..Work::default()
    }
}

/// Returns how many candidates the selections of a minute have examined.
fn examined_in_a_minute(targets: usize) -> u64 {
    let mut table = table("i", targets, targets);
    let mut random = Random::new(7);
    let before = table.candidates_examined();
    for call in 0..CALLS {
        let now = Duration::from_secs(10 + call);
        let (service, work) = if call % 3 == 0 {
            (PORTAL, Work::default())
        } else {
            (MODEL, prompt(random.below(2_000), call))
        };
        table.has_target(now, service, &work).unwrap();
        let choice = table.choose(now, service, &work, &[]).unwrap();
        table.sent(now, &choice, &work);
        table.prefilled(&choice);
        table.ended(&choice);
        table.succeeded(now, &choice);
    }
    table.candidates_examined() - before
}

#[test]
fn selections_examine_as_many_targets_in_a_large_list_as_in_a_small_one() {
    // Guards against selections that examine all targets several times, which take tens of
    // milliseconds each on an instance with an eighth of a core.

    // Act
    let (few, many) = (examined_in_a_minute(FEW), examined_in_a_minute(MANY));

    // Assert
    #[allow(clippy::cast_precision_loss)] // counts far below 2^52
    let growth = many as f64 / few as f64;
    assert!(growth < GROWTH_MAX, "{few}, {many}");
}

/// Returns how many candidates the selections of a busy instance of a large fleet have examined,
/// with one long prompt in twenty calls.
fn examined_beside_long_prompts(targets: usize) -> u64 {
    let mut table = table("i", targets, 0);
    table.set_instances(1_000);
    let mut open = VecDeque::new();
    for call in 0..BUSY_CALLS {
        let now = Duration::from_secs(10) + BUSY_GAP * u32::try_from(call).unwrap();
        let mut work = prompt(call % 100, call);
        if call % 20 == 0 {
            work.prompt_tokens += LONG_TOKENS;
            work.parts[2].tokens += LONG_TOKENS;
        }
        let choice = table.choose(now, MODEL, &work, &[]).unwrap();
        table.sent(now, &choice, &work);
        open.push_back(choice);
        if open.len() > OPEN_CALLS {
            let choice = open.pop_front().unwrap();
            table.prefilled(&choice);
            table.ended(&choice);
            table.succeeded(now, &choice);
        }
    }
    table.candidates_examined()
}

#[test]
fn long_prompts_at_a_busy_instance_add_no_selection_cost_in_a_large_list() {
    // Guards against an instance that assumes its own load for each of a thousand, reserves a third
    // of ten thousand targets for long prompts, and weighs all of these for each call.

    // Act
    let (few, many) = (
        examined_beside_long_prompts(FEW),
        examined_beside_long_prompts(MANY),
    );

    // Assert
    #[allow(clippy::cast_precision_loss)] // counts far below 2^52
    let growth = many as f64 / few as f64;
    assert!(growth < GROWTH_MAX, "{few}, {many}");
}

/// Returns how many candidates the selections of a minute have examined while peers report four
/// targets in five as slow.
fn examined_beside_slow_targets(targets: usize) -> u64 {
    let mut table = table("i", targets, 0);
    for call in 0..CALLS {
        let now = Duration::from_secs(10 + call);
        let work = prompt(call, call);
        let choice = table.choose(now, MODEL, &work, &[]).unwrap();
        let load = ReportedLoad {
            machine_percent: Some(100),
            ..ReportedLoad::default()
        };
        table.report(now, &choice, load);
        for index in (0..targets).filter(|index| index % 5 > 0) {
            let (factor, samples, at) = (3.0, 20, now);
            let report = SpeedReport {
                factor,
                samples,
                at,
            };
            let identity = listed(MODEL, index).identity();
            table.apply_speed_report(now, "peer", &identity, report);
        }
        table.take_speed_changes(now);
    }
    table.candidates_examined()
}

#[test]
fn slow_targets_add_no_selection_cost_in_a_large_list() {
    // Guards against selections that weigh all of the targets that a large fleet reports as slow.

    // Act
    let (few, many) = (
        examined_beside_slow_targets(FEW),
        examined_beside_slow_targets(MANY),
    );

    // Assert
    #[allow(clippy::cast_precision_loss)] // counts far below 2^52
    let growth = many as f64 / few as f64;
    assert!(growth < GROWTH_MAX, "{few}, {many}");
}

/// Returns how many candidates the selections of a busy instance have examined while half of the
/// targets take bulk prompts, with one of these in four calls.
fn examined_beside_bulk_prompts(targets: usize) -> u64 {
    let mut table = table("i", targets, 0);
    table.set_instances(1_000);
    let rate = BulkRate {
        recent_ms: 1e6,
        lasting_ms: 1e6,
    };
    table.apply_bulk_loads(Duration::from_secs(10), "j", &[(MODEL.to_owned(), rate)]);
    table.update_bulk_targets(Duration::from_secs(10));
    assert!(table.bulk_targets(MODEL) >= targets / 3);
    let before = table.candidates_examined();
    for call in 0..BUSY_CALLS {
        let now = Duration::from_secs(10) + BUSY_GAP * u32::try_from(call).unwrap();
        let work = Work {
            is_bulk: call % 4 == 0,
            ..prompt(call % 100, call)
        };
        let choice = table.choose(now, MODEL, &work, &[]).unwrap();
        table.sent(now, &choice, &work);
        table.prefilled(&choice);
        table.ended(&choice);
    }
    table.candidates_examined() - before
}

#[test]
fn bulk_prompts_add_no_selection_cost_in_a_large_list() {
    // Guards against a selection that weighs half of ten thousand targets, or looks for an affinity
    // target among all of them.

    // Act
    let (few, many) = (
        examined_beside_bulk_prompts(FEW),
        examined_beside_bulk_prompts(MANY),
    );

    // Assert
    #[allow(clippy::cast_precision_loss)] // counts far below 2^52
    let growth = many as f64 / few as f64;
    assert!(growth < GROWTH_MAX, "{few}, {many}");
}

#[test]
fn an_entry_costs_as_much_in_a_large_list_as_in_a_small_one() {
    // Guards against a pass over the whole list for each entry that changes, with which a list of
    // ten thousand entries takes seconds to load.

    // Arrange
    let mut tables = [table("i", FEW, 0), table("i", MANY, 0)];

    // Act: the best of several rounds, since other processes use the processor at times.
    let took = tables.each_mut().map(|table| {
        let times = (0..7_u64).map(|round| {
            let began_at = Instant::now();
            for index in 0..FEW {
                let incarnation = Some(2 + round);
                let entry = listed(MODEL, index);
                table.list(
                    Duration::ZERO,
                    Listed {
                        incarnation,
                        ..entry
                    },
                );
            }
            began_at.elapsed()
        });
        times.min().unwrap()
    });

    // Assert: deeper trees cost some; a pass over everything would cost forty times as much.
    assert!(took[1] < took[0] * 8, "{took:?}");
}

#[test]
fn instances_that_know_nothing_of_each_other_spread_their_calls() {
    // Guards against a whole fleet that sends to the first target by name, since each instance sees
    // a call a second and all targets cost it the same.

    // Arrange: the plain targets of one data centre, and instances with one call each.
    const INSTANCES: usize = 200;
    const PORTALS: usize = 205;
    let mut calls: BTreeMap<TargetId, usize> = BTreeMap::new();

    // Act
    for index in 0..INSTANCES {
        let table = table(&format!("i{index}"), 0, PORTALS);
        let choice = table.choose(Duration::from_secs(1), PORTAL, &Work::default(), &[]);
        *calls.entry(choice.unwrap().target).or_default() += 1;
    }

    // Assert: some five each; by chance alone one of them has fourteen once in a thousand times.
    let busiest = calls.values().max().copied().unwrap();
    assert!(calls.len() >= 35 && busiest <= 14, "{calls:?}");
}

#[test]
fn an_idle_instance_keeps_to_the_target_that_it_has_a_connection_to() {
    // Guards against a new connection for each call where all targets are idle.

    // Arrange
    let mut table = table("i", 0, 205);
    let mut used = BTreeSet::new();

    // Act
    for call in 0..CALLS {
        let now = Duration::from_secs(call);
        let work = Work::default();
        let choice = table.choose(now, PORTAL, &work, &[]).unwrap();
        table.sent(now, &choice, &work);
        table.ended(&choice);
        table.succeeded(now, &choice);
        used.insert(choice.target);
    }

    // Assert
    assert_eq!(used.len(), 1);
}

#[test]
fn a_selection_costs_no_more_than_one_among_all_targets() {
    // Guards against a cheaper target that is not among the few that are weighed.

    // Arrange: in a list so short that all of it was used recently, all targets are weighed.
    let mut random = Random::new(11);
    for seed in 0..200 {
        let mut table = table(&format!("i{seed}"), 40, 0);
        let mut sends = Vec::new();
        for call in 0..random.below(60) {
            let now = Duration::from_millis(call * 20);
            let work = prompt(random.below(8), call);
            let choice = table.choose(now, MODEL, &work, &[]).unwrap();
            table.sent(now, &choice, &work);
            sends.push(choice);
        }

        // Act
        let now = Duration::from_secs(2);
        let work = prompt(random.below(8), 1_000);
        let mut tried = Vec::new();
        let mut costs = Vec::new();
        while let Some(choice) = table.choose(now, MODEL, &work, &tried) {
            costs.push(choice.cost_ms);
            tried.push(choice.target);
        }

        // Assert: all targets are selected in turn, and none of the later ones costs less.
        assert_eq!(tried.len(), 40);
        assert!(costs.is_sorted(), "{costs:?}");
    }
}

#[test]
fn a_busy_instance_selects_as_cheaply_as_an_idle_one() {
    // Guards against an instance that receives ten times the calls of its neighbours and spends ten
    // times as much on each, so that its processor is saturated and its answers wait for seconds.

    // Arrange: seventy calls a second for ten seconds, each with another shared prefix.
    let mut table = table("i", 10_000, 0);
    let mut calls = 0;
    let mut call = |table: &mut TargetTable, now: Duration| {
        calls += 1;
        let work = prompt(calls, calls);
        let choice = table.choose(now, MODEL, &work, &[]).unwrap();
        table.sent(now, &choice, &work);
        table.prefilled(&choice);
        table.ended(&choice);
    };
    let mut time = |table: &mut TargetTable, from_ms: u64| {
        let began_at = Instant::now();
        for index in 0..50 {
            call(table, Duration::from_millis(from_ms + index * 14));
        }
        began_at.elapsed()
    };
    let idle = time(&mut table, 0);

    // Act
    let busy = (1..14).map(|round| time(&mut table, round * 700)).min();

    // Assert: the 700 targets with remembered state are weighed, and few are examined further.
    assert!(busy.unwrap() < idle * 20, "{busy:?}, {idle:?}");
}
