//! Timestamps on clocks that outlive a process.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Largest difference between the spans measured by the boot clock and by the time of day for which
/// two stamps count as from the same boot of a machine. The time of day may step by seconds; a boot
/// clock that was reset differs by far more.
const SAME_RUN: Duration = Duration::from_secs(10);

/// Timestamp of a write or a start, on clocks that outlive a process.
///
/// The boot clock continues when a process ends and while the machine is suspended, and is reset
/// when the machine loses power. The fleet clock is the median of many instances' times of day.
#[derive(Clone, PartialEq, Eq, prost::Message, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Identifier of the machine's current boot, if the system provides one.
    #[prost(string, tag = "1")]
    pub boot_name: String,
    /// Boot clock in milliseconds.
    #[prost(uint64, tag = "2")]
    pub boot_ms: u64,
    /// Local time of day, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub unix_ms: u64,
    /// Lower bound of the fleet clock; `None` if too few peers were heard from.
    #[prost(uint64, optional, tag = "4")]
    pub fleet_early_ms: Option<u64>,
    /// Upper bound of the fleet clock; `None` if too few peers were heard from.
    #[prost(uint64, optional, tag = "5")]
    pub fleet_late_ms: Option<u64>,
}

impl Stamp {
    /// Returns the longest time that can have passed between this stamp and a later one of the same
    /// machine; `None` if nothing bounds it.
    ///
    /// ```
    /// use damaskstile_escrow::stamp::Stamp;
    /// let stamp = |ms| Stamp { boot_ms: ms, unix_ms: 50_000 + ms, ..Stamp::default() };
    /// let passed = stamp(1_000).until(&stamp(3_000));
    /// assert_eq!(passed.map(|time| time.as_millis()), Some(2_000));
    /// ```
    #[must_use]
    pub fn until(&self, later: &Self) -> Option<Duration> {
        self.by_boot_clock(later)
            .or_else(|| self.by_fleet_time(later))
    }

    fn by_boot_clock(&self, later: &Self) -> Option<Duration> {
        if self.boot_name != later.boot_name {
            return None;
        }
        let by_boot = later.boot_ms.checked_sub(self.boot_ms)?;
        let by_day = later.unix_ms.abs_diff(self.unix_ms);
        let is_same_run = u128::from(by_boot.abs_diff(by_day)) < SAME_RUN.as_millis();
        is_same_run.then(|| Duration::from_millis(by_boot))
    }

    fn by_fleet_time(&self, later: &Self) -> Option<Duration> {
        let passed_ms = later.fleet_late_ms?.checked_sub(self.fleet_early_ms?)?;
        Some(Duration::from_millis(passed_ms))
    }
}
