//! Tests that the fleet clock stays accurate while the clocks of some instances step.

use std::time::Duration;

use damaskstile_fleet::FleetClock;

/// Numbers of instances in the simulated fleets.
const FLEETS: [u64; 2] = [7, 9];
/// Step of a machine's clock.
const STEP_MS: u64 = 3_150;
/// Correct time of the readings.
const NOW_MS: u64 = 1_000_000;

/// Returns the fleet clock of a fleet where `stepped` clocks step by the same time, `heard` of its
/// instances have a reading, and the step goes back if `is_back`.
fn middle(instances: u64, stepped: u64, heard: u64, is_back: bool) -> Option<(u64, u64)> {
    let mut clock = FleetClock::default();
    let shown = |index: u64| match (index < stepped, is_back) {
        (false, _) => NOW_MS + index,
        (true, false) => NOW_MS + index + STEP_MS,
        (true, true) => NOW_MS + index - STEP_MS,
    };
    for index in 1..heard {
        clock.hear(Duration::from_secs(5), &format!("i{index}"), shown(index));
    }
    let instances = usize::try_from(instances).unwrap();
    clock.middle(Duration::from_secs(5), shown(0), instances)
}

#[test]
fn a_step_of_two_clocks_in_five_does_not_move_the_fleet_clock() {
    // Guards against granting again tokens that an isolated instance has spent. The clocks of a
    // third of the machines step, all machines lose power, and a successor that relies on the clock
    // of a single machine misjudges the time since the last write.
    for instances in FLEETS {
        for is_back in [false, true] {
            let stepped = instances * 2 / 5;
            let (early, late) = middle(instances, stepped, instances, is_back).unwrap();
            assert!(
                early >= NOW_MS && late <= NOW_MS + instances,
                "{early} {late}"
            );
        }
    }
}

#[test]
fn a_tie_yields_the_earlier_and_the_later_time() {
    let (early, late) = middle(8, 4, 8, false).unwrap();
    assert!(early <= NOW_MS + 8);
    assert!(late >= NOW_MS + STEP_MS);
}

#[test]
fn too_few_readings_yield_no_time() {
    assert_eq!(middle(9, 0, 6, false), None);
    assert!(middle(9, 0, 7, false).is_some());
}
