//! `clock` gives the time of the events: it never goes back, and it counts while suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// `Clock` counts on from the wall clock's time at the start.
///
/// The wall clock may be set back, and the usual monotonic clock stands still while the machine
/// is suspended. Either would let an instance believe that old evidence is fresh.
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

/// `BootTime` is what the boot clock shows, with the name of the machine's run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BootTime {
    /// Name of the machine's run; empty where the system gives none.
    pub name: String,
    /// Milliseconds that the boot clock shows.
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

/// Returns the machine's time of day, in milliseconds since the Unix epoch. It may step.
#[must_use]
pub fn own_unix_ms() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    damaskstile_core::time::unix_ms(time)
}
