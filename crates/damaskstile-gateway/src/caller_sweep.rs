//! Periodic check of what is held for callers.

use std::fmt::Write;

use damaskstile_core::prelude::*;

use crate::caller_resources::{Endpoint, ReleaseCause};
use crate::gateway::Gateway;

/// Interval between two counts of unread bytes, and between two log lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Scheduling delay after which callers are not blamed for the time that has passed.
const SCHEDULING_DELAY_MAX: Duration = Duration::from_millis(250);

/// Periodic check of what is held for callers.
#[derive(Debug, Default)]
pub(crate) struct CallerSweep {
    /// Releases that metrics have counted.
    counted: BTreeMap<ReleaseCause, u64>,
    /// Releases that were logged.
    logged: BTreeMap<ReleaseCause, u64>,
    line_at: Duration,
}

impl CallerSweep {
    /// Closes connections whose callers take too long, and updates metrics and logs.
    pub(crate) fn run(&mut self, gateway: &Gateway, scheduling_delay: Duration) {
        let now = gateway.now();
        let limits = gateway.limits();
        let is_line_due = now.saturating_sub(self.line_at) >= LINE_INTERVAL;
        let mut resources = gateway.caller_resources();
        if scheduling_delay <= SCHEDULING_DELAY_MAX {
            resources.close_expired(now, &limits);
        }
        if is_line_due {
            resources.count_sent_ahead(now);
            self.line_at = now;
        }
        let releases = resources.releases().clone();
        let held_bytes = resources.held_bytes();
        let connections = resources.connections(Endpoint::Callers);
        drop(resources);
        let metrics = &gateway.metrics.callers;
        metrics.sample(held_bytes, connections);
        metrics.add_releases(&difference(&releases, &self.counted));
        self.counted.clone_from(&releases);
        if is_line_due && releases != self.logged {
            let new = difference(&releases, &self.logged);
            log_releases(gateway, &new, held_bytes, connections);
            self.logged = releases;
        }
    }
}

/// Returns the counts beyond earlier ones.
fn difference(
    counts: &BTreeMap<ReleaseCause, u64>,
    before: &BTreeMap<ReleaseCause, u64>,
) -> BTreeMap<ReleaseCause, u64> {
    let counts = counts.iter().map(|(cause, count)| {
        let before = before.get(cause).copied().unwrap_or_default();
        (*cause, count - before)
    });
    counts.filter(|(_, count)| *count > 0).collect()
}

fn log_releases(
    gateway: &Gateway,
    releases: &BTreeMap<ReleaseCause, u64>,
    held_bytes: usize,
    connections: usize,
) {
    let mut causes = String::new();
    for (cause, count) in releases {
        let separator = if causes.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(causes, "{separator}{}:{count}", cause.as_str());
    }
    let limits = &gateway.options.callers;
    let fields = [
        ("causes", causes),
        ("held_bytes", held_bytes.to_string()),
        ("held_bytes_max", limits.held_bytes_max.to_string()),
        ("connections", connections.to_string()),
        ("connections_max", limits.caller_connections_max.to_string()),
    ];
    let fields = fields
        .each_ref()
        .map(|(name, value)| (*name, value.as_str()));
    gateway.log(EventCode::CallersReleased, &fields);
}
