//! Times and stamps for tests, and a simulation of holders that share a store.

#![allow(dead_code)] // each test uses a part

pub mod world;

use std::time::Duration;

use damaskstile_escrow::Stamp;

/// Returns the time at `ms` milliseconds.
pub fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the stamp of a machine that stays up and hears from its peers.
pub fn stamp(ms: u64) -> Stamp {
    Stamp {
        boot_name: String::new(),
        boot_ms: ms,
        unix_ms: 1_000_000 + ms,
        fleet_early_ms: Some(1_000_000 + ms),
        fleet_late_ms: Some(1_000_000 + ms),
    }
}
