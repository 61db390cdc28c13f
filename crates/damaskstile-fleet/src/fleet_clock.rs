//! The fleet clock: the median of the instances' clocks.

use damaskstile_core::prelude::*;

/// Age from which on a peer's reading is ignored, because its clock may have stepped since.
const READING_AGE_MAX: Duration = Duration::from_secs(2);
/// Fraction of the instances whose readings are required. Steps of up to three clocks in eight must
/// not move the median.
const REQUIRED_FRACTION: (usize, usize) = (3, 4);
/// Number of readings that suffice in a large fleet, where each instance receives those of a random
/// subset of its peers.
const REQUIRED_READINGS_MAX: usize = 12;

#[derive(Debug, Clone, Copy)]
struct Reading {
    unix_ms: u64,
    at: Duration,
}

/// `FleetClock` computes the fleet clock: the median of the instances' clocks.
///
/// The time of day of some machines may step by seconds at once. As long as fewer than half of the
/// clocks that were read step together, the median is accurate to within the transit time of a
/// message.
#[derive(Debug, Clone, Default)]
pub struct FleetClock {
    readings: BTreeMap<InstanceId, Reading>,
}

impl FleetClock {
    /// Records a reading of a peer's clock, in milliseconds since the Unix epoch.
    pub fn record_reading(&mut self, now: Duration, peer: &str, unix_ms: u64) {
        let reading = Reading { unix_ms, at: now };
        self.readings.insert(peer.to_owned(), reading);
    }

    /// Returns the lower and the upper median of the clocks, in milliseconds since the Unix epoch;
    /// `None` if too few instances have a recent reading. The two differ only for an even number of
    /// clocks.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_fleet::FleetClock;
    /// let mut clock = FleetClock::default();
    /// clock.record_reading(Duration::ZERO, "b", 1_000);
    /// clock.record_reading(Duration::ZERO, "c", 4_000);
    /// let now = Duration::from_millis(500);
    /// assert_eq!(clock.median(now, 1_510, 3), Some((1_510, 1_510)));
    /// assert_eq!(clock.median(now, 1_510, 9), None);
    /// ```
    #[must_use]
    pub fn median(&self, now: Duration, own_unix_ms: u64, instances: usize) -> Option<(u64, u64)> {
        let mut clocks_unix_ms: Vec<u64> = self
            .readings
            .values()
            .filter(|reading| now.saturating_sub(reading.at) < READING_AGE_MAX)
            .map(|reading| {
                let age = now.saturating_sub(reading.at);
                reading.unix_ms + damaskstile_core::time::unix_ms(age)
            })
            .collect();
        clocks_unix_ms.push(own_unix_ms);
        let (numerator, denominator) = REQUIRED_FRACTION;
        let needed = (instances * numerator)
            .div_ceil(denominator)
            .min(REQUIRED_READINGS_MAX);
        if clocks_unix_ms.len() < needed {
            return None;
        }
        clocks_unix_ms.sort_unstable();
        let last = clocks_unix_ms.len() - 1;
        Some((clocks_unix_ms[last / 2], clocks_unix_ms[last.div_ceil(2)]))
    }
}
