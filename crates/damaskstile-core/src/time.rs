//! `time` turns times into numbers, as the store and peers have them.

use std::time::Duration;

/// Returns a time as milliseconds, as the store and peers have it.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(damaskstile_core::time::unix_ms(Duration::from_secs(2)), 2000);
/// ```
#[must_use]
pub fn unix_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
