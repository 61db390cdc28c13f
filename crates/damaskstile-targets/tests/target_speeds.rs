//! Speeds of targets: merged from own calls and reports of peers, bounded, and tied to incarnations.

use damaskstile_core::prelude::*;
use damaskstile_targets::{
    Choice, Listed, ReportedLoad, SpeedChange, SpeedReport, TargetSpeed, TargetTable,
    TargetTableOptions, Work,
};

const SERVICE: &str = "plain";
const TARGETS: usize = 4;
const USUAL: Duration = Duration::from_millis(100);

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn report(factor: f64, samples: u64, at: Duration) -> SpeedReport {
    SpeedReport {
        factor,
        samples,
        at,
    }
}

fn listed(index: usize, incarnation: u64) -> Listed {
    Listed {
        target: format!("t{index}"),
        incarnation: Some(incarnation),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "c0".to_owned(),
        slots_requests: 16,
        is_ready: true,
        software_version: "v1".to_owned(),
        weights: Vec::new(),
        cold_for: Duration::ZERO,
    }
}

fn table() -> TargetTable {
    let mut table =
        TargetTable::new("c0", TargetTableOptions::default()).for_instance("i", Duration::ZERO);
    for index in 0..TARGETS {
        table.list(Duration::ZERO, listed(index, 1));
    }
    table
}

/// Sends one call and answers it after a time, for which `took` is asked by target.
fn call(table: &mut TargetTable, now: Duration, took: impl Fn(&str) -> Duration) -> Choice {
    let work = Work::default();
    let choice = table.choose(now, SERVICE, &work, &[]).unwrap();
    let load = ReportedLoad {
        slots: Some(16),
        machine_percent: Some(100),
        ..ReportedLoad::default()
    };
    table.sent(now, &choice, &work);
    table.report(now, &choice, load);
    table.plain_answer(now, &choice, took(&choice.target));
    table.ended(&choice);
    choice
}

/// Returns the target that the next call would get, and counts it among `calls` further ones.
fn calls_at(table: &mut TargetTable, now: Duration, calls: usize, target: &str) -> usize {
    let choices = (0..calls).map(|_| call(table, now, |_| USUAL).target);
    choices.filter(|chosen| chosen == target).count()
}

#[test]
fn reports_are_merged_by_samples_and_age_within_bounds() {
    // Guards against a peer with two calls that outweighs one with twenty, and against state that
    // grows with the fleet.

    // Arrange
    let mut speed = TargetSpeed::default();

    // Act and assert: two samples are too few, twenty more decide.
    speed.apply_report(at(0), "a", report(8.0, 2, at(0)));
    assert!((speed.factor(at(0)) - 1.0).abs() < 1e-9);
    speed.apply_report(at(0), "b", report(2.0, 18, at(0)));
    let merged = (0.1 * 8.0_f64.ln() + 0.9 * 2.0_f64.ln()).exp();
    assert!((speed.factor(at(0)) - merged).abs() < 1e-9);

    // An older report of the same peer changes nothing, and neither do those of a large fleet with
    // few samples each.
    speed.apply_report(at(1), "b", report(8.0, 18, Duration::ZERO));
    for peer in 0..1_000 {
        speed.apply_report(at(1), &format!("peer{peer}"), report(0.3, 1, at(1)));
    }
    assert!(speed.factor(at(1)) > 1.4, "{}", speed.factor(at(1)));
    assert!(format!("{speed:?}").matches("SpeedReport").count() <= 8);

    // Own samples count first, whatever else is reported.
    for _ in 0..20 {
        speed.learn(at(2), 1.0);
    }
    assert!((speed.factor(at(2)) - 1.0).abs() < 1e-9);

    // All of it is gone after 30 s.
    assert!((speed.factor(at(32)) - 1.0).abs() < 1e-9);
}

#[test]
fn the_momentary_figure_counts_half_and_not_for_long() {
    // Guards against calls that leave a target for a figure that has changed since.

    // Arrange: a machine that is at its usual figure and suddenly at four times that.
    let mut speed = TargetSpeed::default();
    for _ in 0..20 {
        speed.record_machine(at(0), 100);
    }
    speed.record_machine(at(0), 400);

    // Act
    let ms = Duration::from_millis;
    let factors = [0, 300, 599, 600].map(|age_ms| speed.cost_factor(ms(age_ms)));

    // Assert
    assert!(factors[0] > 1.7 && factors[0] < 2.0, "{factors:?}");
    assert!(
        factors.is_sorted_by(|one, other| one > other),
        "{factors:?}"
    );
    assert!((factors[3] - 1.0).abs() < 1e-9, "{factors:?}");
}

#[test]
fn a_slow_plain_target_is_found_by_its_answers_and_starts_anew_with_its_next_incarnation() {
    // Guards against a replaced target that is avoided for what its predecessor was.

    // Arrange: each target in turn is the only one, so that all are seen.
    let mut table = table();
    let slow = |target: &str| if target == "t1" { USUAL * 4 } else { USUAL };
    for second in 0..15 {
        for index in 0..TARGETS {
            let tried: Vec<TargetId> = (0..TARGETS)
                .filter(|other| *other != index)
                .map(|other| format!("t{other}"))
                .collect();
            let choice = table.choose(at(second), SERVICE, &Work::default(), &tried);
            let choice = choice.unwrap();
            let load = ReportedLoad {
                machine_percent: Some(100),
                ..ReportedLoad::default()
            };
            table.report(at(second), &choice, load);
            table.plain_answer(at(second), &choice, slow(&choice.target));
        }
    }

    // Act
    let changes = table.take_speed_changes(at(15));
    let percents = table.speed_percents(at(15));
    let reported = table.speeds_to_report(at(15));
    let at_slow = calls_at(&mut table, at(15), 20, "t1");
    table.list(at(15), listed(1, 2));
    let after = table.speed_percents(at(15));
    table.apply_speed_report(at(15), "b", &reported[0].0, reported[0].1);

    // Assert
    assert!(changes.len() == 1 && changes[0].is_slow && changes[0].identity.target == "t1");
    assert!(percents[0].0 == "t1" && percents[0].1 > 250, "{percents:?}");
    assert_eq!((reported[0].0.target.as_str(), at_slow), ("t1", 0));
    assert!(after.iter().all(|(target, _)| target != "t1"), "{after:?}");
    // A late report on the predecessor changes nothing.
    assert_eq!(table.speed_percents(at(15)), after);
}

#[test]
fn a_wrong_report_diverts_calls_for_thirty_seconds_at_most() {
    // Guards against a faulty peer that keeps a good target out of use, or all calls at one.

    // Arrange
    let mut table = table();
    let usual = call(&mut table, at(1), |_| USUAL).target;
    let identity = TargetIdentity::new(&usual, Some(1));

    // Act: reports of an absurd factor, one of them with an absurd time.
    for (factor, at_s) in [(f64::INFINITY, 1), (f64::NAN, 1), (1e9, 1)] {
        let wrong = report(factor, u64::MAX, at(at_s));
        table.apply_speed_report(at(1), &format!("peer{factor}"), &identity, wrong);
    }
    let during = calls_at(&mut table, at(2), 10, &usual);
    let afterwards = calls_at(&mut table, at(32), 10, &usual);
    table.apply_speed_report(at(40), "late", &identity, report(8.0, 20, at(5)));
    let beside_stale = calls_at(&mut table, at(40), 10, &usual);

    // Assert: calls that know no better return to the same target as before.
    assert_eq!((during, afterwards, beside_stale), (0, 10, 10));
}

#[test]
fn a_slow_target_is_logged_for_own_calls_beside_ten_samples_once_in_ten_seconds() {
    // Guards against a fleet in which each instance logs each target that a peer reported or that
    // was late a few times: 86 instances logged 7,900 changes in 50 seconds.

    // Arrange
    let mut table = table();
    let usual = call(&mut table, at(1), |_| USUAL).target;
    let tried: Vec<TargetId> = (0..TARGETS).map(|index| format!("t{index}")).collect();
    let tried: Vec<TargetId> = tried.into_iter().filter(|other| *other != usual).collect();
    let identity = TargetIdentity::new(&usual, Some(1));
    let slow_calls = |table: &mut TargetTable, now, calls, times| {
        for _ in 0..calls {
            let choice = table
                .choose(now, SERVICE, &Work::default(), &tried)
                .unwrap();
            table.plain_answer(now, &choice, USUAL * times);
        }
    };
    let states = |changes: Vec<SpeedChange>| -> Vec<bool> {
        changes.iter().map(|change| change.is_slow).collect()
    };

    // Act: reports of peers alone, then with one own call; and in another table nine own calls.
    for peer in ["a", "b"] {
        table.apply_speed_report(at(1), peer, &identity, report(4.0, 20, at(1)));
    }
    let by_peers = table.take_speed_changes(at(1));
    slow_calls(&mut table, at(2), 1, 4);
    let by_few = table.take_speed_changes(at(2));
    let mut alone = self::table();
    call(&mut alone, at(1), |_| USUAL);
    slow_calls(&mut alone, at(2), 8, 4);
    let by_nine = alone.take_speed_changes(at(2));

    // Two more calls show it; then the speed changes back and forth each second.
    slow_calls(&mut table, at(3), 2, 4);
    let first = states(table.take_speed_changes(at(3)));
    let mut later = Vec::new();
    for second in 4..24 {
        slow_calls(
            &mut table,
            at(second),
            20,
            if second % 2 == 0 { 1 } else { 4 },
        );
        let changes = states(table.take_speed_changes(at(second)));
        later.extend(changes.into_iter().map(|is_slow| (second, is_slow)));
    }

    // Assert
    assert_eq!((by_peers, by_few, by_nine), (vec![], vec![], vec![]));
    assert_eq!(first, [true]);
    assert!(later.len() <= 2, "{later:?}");
    assert!(later.iter().all(|(second, _)| *second >= 13), "{later:?}");
    assert_eq!(later.first().map(|(_, is_slow)| *is_slow), Some(false));
}

#[test]
fn speeds_are_reported_when_they_changed_noticeably_or_after_two_seconds() {
    // Guards against digests that carry the same 600 bytes of speeds every 400 ms, on links that
    // are slow or paid by the byte.

    // Arrange: of two targets the calls take four times the usual and 1.2 times.
    let mut table = table();
    call(&mut table, at(1), |_| USUAL);
    let calls_at = |table: &mut TargetTable, now, target: &str, percent| {
        let names = (0..TARGETS).map(|index| format!("t{index}"));
        let tried: Vec<TargetId> = names.filter(|other| *other != target).collect();
        for _ in 0..20 {
            let choice = table
                .choose(now, SERVICE, &Work::default(), &tried)
                .unwrap();
            // The median moves towards each answer, so the time follows it.
            let usual_ms = choice.usual_ms.unwrap();
            let took = Duration::from_secs_f64(usual_ms * f64::from(percent) / 1e5);
            table.plain_answer(now, &choice, took);
        }
    };
    let taken = |table: &mut TargetTable, ms| -> Vec<TargetId> {
        let reports = table.take_speeds_to_report(Duration::from_millis(ms));
        let targets = reports.into_iter().map(|(identity, _)| identity.target);
        targets.collect()
    };
    calls_at(&mut table, at(2), "t1", 400);
    calls_at(&mut table, at(2), "t2", 120);

    // Act
    let first = taken(&mut table, 2_000);
    let unchanged = [2_400, 3_000, 3_900].map(|ms| taken(&mut table, ms));
    let repeated = taken(&mut table, 4_000);
    calls_at(&mut table, at(5), "t1", 380);
    let little_changed = taken(&mut table, 5_000);
    calls_at(&mut table, at(5), "t1", 300);
    let changed = taken(&mut table, 5_500);
    let for_newcomers = table.speeds_to_report(at(6));
    // The mean covers twenty calls, so several times as many replace what it held.
    for _ in 0..4 {
        calls_at(&mut table, at(6), "t1", 110);
    }
    let usual_again = taken(&mut table, 9_000);

    // Assert
    assert_eq!(first, ["t1"]);
    assert!(unchanged.iter().all(Vec::is_empty), "{unchanged:?}");
    assert_eq!(repeated, ["t1"]);
    assert!(little_changed.is_empty(), "{little_changed:?}");
    assert_eq!(changed, ["t1"]);
    assert_eq!(
        (for_newcomers.len(), &*for_newcomers[0].0.target),
        (1, "t1")
    );
    assert!(usual_again.is_empty(), "{usual_again:?}");
}
