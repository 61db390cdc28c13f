//! `stamp` says when a write was made, on clocks that outlive a process.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Difference between what two clocks say of one span past which they do not speak of the same
/// run of a machine. Times of day step by seconds; a clock that began anew differs by far more.
const SAME_RUN: Duration = Duration::from_secs(10);

/// `Stamp` says when a write was made, on clocks that outlive a process.
///
/// The boot clock counts on across the death of a process, also while the machine is suspended,
/// and begins anew when the machine loses power. The fleet's time is the middle of many
/// instances' times of day.
#[derive(Clone, PartialEq, Eq, prost::Message, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Name of the machine's run, if the system gives one.
    #[prost(string, tag = "1")]
    pub boot_name: String,
    /// Boot clock.
    #[prost(uint64, tag = "2")]
    pub boot_ms: u64,
    /// Own time of day.
    #[prost(uint64, tag = "3")]
    pub unix_ms: u64,
    /// Fleet's time, not later than it truly was; `None` where too few peers were heard.
    #[prost(uint64, optional, tag = "4")]
    pub fleet_early_ms: Option<u64>,
    /// Fleet's time, not earlier than it truly was.
    #[prost(uint64, optional, tag = "5")]
    pub fleet_late_ms: Option<u64>,
}

impl Stamp {
    /// Returns the longest time that can have passed from this stamp to a later one of the same
    /// machine; `None` where nothing bounds it.
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
