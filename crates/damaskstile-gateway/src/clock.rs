//! Clock for decisions and events: it is monotonic and keeps counting while the machine is
//! suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Time since the Unix epoch, read once from the wall clock at the start and advanced by the boot
/// clock.
///
/// The wall clock may be set back, and the usual monotonic clock stops while the machine is
/// suspended. Either could make an instance treat old evidence as fresh.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_unix: Duration,
    started_boot: Duration,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        let started_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_unix,
            started_boot: boot_time(),
        }
    }

    /// Returns the time since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started_unix + boot_time().saturating_sub(self.started_boot)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Reading of the boot clock, with the id of the boot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BootTime {
    /// Boot id of the machine; empty if the system has none.
    pub name: String,
    /// Milliseconds since boot, including suspended time.
    pub ms: u64,
}

impl BootTime {
    /// Reads the boot clock.
    #[must_use]
    pub fn now() -> Self {
        let name = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
        Self {
            name: name.trim().to_owned(),
            ms: damaskstile_core::time::unix_ms(boot_time()),
        }
    }
}

/// Returns the machine's wall clock time, in milliseconds since the Unix epoch. It may jump.
#[must_use]
pub fn own_unix_ms() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    damaskstile_core::time::unix_ms(time)
}
