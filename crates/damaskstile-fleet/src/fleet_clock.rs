//! `fleet_clock` finds the fleet's time: the middle of what the instances' clocks show.

use damaskstile_core::prelude::*;

/// Age past which what a peer said of its clock is not used: its clock may have stepped since.
const HEARD_AGE: Duration = Duration::from_secs(2);
/// Part of the instances that must be heard, as a fraction: steps of up to three clocks in eight
/// must not move the middle.
const HEARD_PART: (usize, usize) = (3, 4);
/// Instances that are enough in a large fleet, where peers are heard by chance.
const HEARD_ENOUGH: usize = 12;

#[derive(Debug, Clone, Copy)]
struct Reading {
    unix_ms: u64,
    at: Duration,
}

/// `FleetClock` finds the fleet's time: the middle of what the instances' clocks show.
///
/// The time of day of some machines may step by seconds at once. As long as the clocks of fewer
/// than half of those heard step together, the middle is right to the time a message takes.
#[derive(Debug, Clone, Default)]
pub struct FleetClock {
    readings: BTreeMap<InstanceId, Reading>,
}

impl FleetClock {
    /// Takes in what a peer's clock showed.
    pub fn hear(&mut self, now: Duration, peer: &str, unix_ms: u64) {
        let reading = Reading { unix_ms, at: now };
        self.readings.insert(peer.to_owned(), reading);
    }

    /// Returns the fleet's time as its earlier and its later middle; `None` where too few of the
    /// instances were heard.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_fleet::FleetClock;
    /// let mut clock = FleetClock::default();
    /// clock.hear(Duration::ZERO, "b", 1_000);
    /// clock.hear(Duration::ZERO, "c", 4_000);
    /// let now = Duration::from_millis(500);
    /// assert_eq!(clock.middle(now, 1_510, 3), Some((1_510, 1_510)));
    /// assert_eq!(clock.middle(now, 1_510, 9), None);
    /// ```
    #[must_use]
    pub fn middle(&self, now: Duration, own_unix_ms: u64, instances: usize) -> Option<(u64, u64)> {
        let mut shown: Vec<u64> = self
            .readings
            .values()
            .filter(|reading| now.saturating_sub(reading.at) < HEARD_AGE)
            .map(|reading| {
                let since = now.saturating_sub(reading.at);
                reading.unix_ms + damaskstile_core::time::unix_ms(since)
            })
            .collect();
        shown.push(own_unix_ms);
        let (part, of) = HEARD_PART;
        let needed = (instances * part).div_ceil(of).min(HEARD_ENOUGH);
        if shown.len() < needed {
            return None;
        }
        shown.sort_unstable();
        let last = shown.len() - 1;
        Some((shown[last / 2], shown[last.div_ceil(2)]))
    }
}
