//! `load` looks at what an instance carries, and writes to the logs where that is too much.

use std::fmt::Write;
use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::gateway::Gateway;
use crate::readiness::Readiness;

/// Time between two looks at how late the instance comes to them.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two lines of an instance that carries too much.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Lateness from which on such lines are written.
const LATE: Duration = Duration::from_millis(100);

/// Looks at what the instance carries until the process ends.
pub async fn watch(gateway: Arc<Gateway>) {
    let mut readiness = Readiness::Starting;
    let mut busy_before = gateway.busy_times.counts();
    let mut line_at = gateway.now();
    let mut longest_lateness = Duration::ZERO;
    loop {
        let due_at = gateway.now() + LOOK_INTERVAL;
        tokio::time::sleep(LOOK_INTERVAL).await;
        let now = gateway.now();
        let lateness = now.saturating_sub(due_at);
        gateway.state().pressure.note_lateness(now, lateness);
        longest_lateness = longest_lateness.max(lateness);
        let found = Readiness::of(&gateway);
        if found != readiness {
            let fields = [("now", found.as_str()), ("before", readiness.as_str())];
            gateway.log(EventCode::ReadinessChanged, &fields);
            readiness = found;
        }
        let span = now.saturating_sub(line_at);
        if span < LINE_INTERVAL {
            continue;
        }
        if longest_lateness >= LATE || readiness == Readiness::Overloaded {
            let busy = gateway.busy_times.summary_since(&busy_before);
            note(&gateway, span, longest_lateness, &busy);
        } else {
            gateway.link_times.take();
        }
        busy_before = gateway.busy_times.counts();
        longest_lateness = Duration::ZERO;
        line_at = now;
    }
}

/// Writes what the instance was busy with for some time, and how long things took meanwhile.
fn note(gateway: &Gateway, span: Duration, lateness: Duration, busy: &str) {
    let mut longest = String::new();
    for (what, took) in gateway.link_times.take() {
        let separator = if longest.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(longest, "{separator}{what}:{}", took.as_millis());
    }
    let now = gateway.now();
    let queue_ms = gateway.state().pressure.delay(now).as_millis();
    let fields = [
        ("span_ms", span.as_millis().to_string()),
        ("late_ms", lateness.as_millis().to_string()),
        ("busy_ms", busy.to_owned()),
        ("longest_ms", longest),
        ("queue_ms", queue_ms.to_string()),
        ("calls", gateway.open_calls().to_string()),
        ("connections", gateway.open_connections().to_string()),
    ];
    let fields = fields
        .each_ref()
        .map(|(name, value)| (*name, value.as_str()));
    gateway.log(EventCode::InstanceLoaded, &fields);
}
