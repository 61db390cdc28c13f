//! The fleet's time stays right while the clocks of some instances step.

use std::time::Duration;

use damaskstile_fleet::FleetClock;

/// Instances of the smaller and the larger fleet of today.
const FLEETS: [u64; 2] = [7, 9];
/// Steps of machines' clocks, in milliseconds.
const STEP_MS: u64 = 3_150;
/// Time of the readings.
const NOW_MS: u64 = 1_000_000;

/// Returns the fleet's time where so many clocks step by the same time.
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
fn a_step_of_two_clocks_in_five_does_not_move_the_fleets_time() {
    // Symptom: tokens that an isolated instance had spent are handed out again. Sequence: the
    // clocks of a third of the machines step, all lose power, and a successor takes the time since
    // the last write for shorter than it was. Cause: one machine's time of day was believed.
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
fn a_tie_is_told_as_the_earlier_and_the_later_time() {
    let (early, late) = middle(8, 4, 8, false).unwrap();
    assert!(early <= NOW_MS + 8);
    assert!(late >= NOW_MS + STEP_MS);
}

#[test]
fn too_few_clocks_give_no_time() {
    assert_eq!(middle(9, 0, 6, false), None);
    assert!(middle(9, 0, 7, false).is_some());
}
