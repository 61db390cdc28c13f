//! Conversion of times to the representation used in the store and on the wire.

use std::time::Duration;

/// Returns a time in milliseconds, as used in the store and on the wire. Saturates at `u64::MAX`.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(damaskstile_core::time::unix_ms(Duration::from_secs(2)), 2000);
/// ```
#[must_use]
pub fn unix_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
