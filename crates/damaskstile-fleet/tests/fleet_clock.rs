//! Tests that the fleet clock stays accurate while the clocks of some instances step.

use std::time::Duration;

use damaskstile_fleet::FleetClock;

/// Numbers of instances in the simulated fleets.
const FLEET_SIZES: [u64; 2] = [7, 9];
/// Step of a machine's clock.
const STEP_MS: u64 = 3_150;
/// Correct time of the readings.
const NOW_MS: u64 = 1_000_000;

/// Returns the fleet clock where `stepped` clocks step by the same time, forward or backward, and
/// the clocks of only `readings` instances were read.
fn fleet_clock(
    instances: u64,
    stepped: u64,
    readings: u64,
    is_backward: bool,
) -> Option<(u64, u64)> {
    let mut clock = FleetClock::default();
    let clock_unix_ms = |index: u64| match (index < stepped, is_backward) {
        (false, _) => NOW_MS + index,
        (true, false) => NOW_MS + index + STEP_MS,
        (true, true) => NOW_MS + index - STEP_MS,
    };
    for index in 1..readings {
        clock.record_reading(
            Duration::from_secs(5),
            &format!("i{index}"),
            clock_unix_ms(index),
        );
    }
    let instances = usize::try_from(instances).unwrap();
    clock.median(Duration::from_secs(5), clock_unix_ms(0), instances)
}

#[test]
fn a_step_of_two_clocks_in_five_does_not_move_the_fleet_clock() {
    // Guards against granting again tokens that an isolated instance has spent. The clocks of a
    // third of the machines step, all machines lose power, and a successor that relies on the clock
    // of one machine assumes that less time has passed since the last write than really has.
    for instances in FLEET_SIZES {
        for is_backward in [false, true] {
            let stepped = instances * 2 / 5;
            let (early, late) = fleet_clock(instances, stepped, instances, is_backward).unwrap();
            assert!(
                early >= NOW_MS && late <= NOW_MS + instances,
                "{early} {late}"
            );
        }
    }
}

#[test]
fn a_tie_yields_the_earlier_and_the_later_time() {
    let (early, late) = fleet_clock(8, 4, 8, false).unwrap();
    assert!(early <= NOW_MS + 8);
    assert!(late >= NOW_MS + STEP_MS);
}

#[test]
fn too_few_readings_yield_no_time() {
    assert_eq!(fleet_clock(9, 0, 6, false), None);
    assert!(fleet_clock(9, 0, 7, false).is_some());
}
