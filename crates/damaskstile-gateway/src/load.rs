//! Load sampling, and log lines while an instance is overloaded.

use std::fmt::Write;
use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::bulk_targets;
use crate::caller_sweep::CallerSweep;
use crate::gateway::Gateway;
use crate::load_sample::LoadSample;
use crate::readiness::Readiness;
use crate::target_speeds;

/// Interval between two load samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two log lines of an overloaded instance.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Scheduling delay from which on such lines are written.
const SCHEDULING_DELAY_LOGGED: Duration = Duration::from_millis(100);
/// Background tasks that serve calls.
const CALL_TASKS: [&str; 2] = ["callers", "targets"];

/// Processor time spent on calls and on all other work since the start.
#[derive(Debug, Clone, Copy)]
struct Busy {
    with_calls: Duration,
    with_other: Duration,
}

impl Busy {
    fn of(gateway: &Gateway) -> Self {
        let counts = gateway.busy_times.counts();
        let is_of_calls = |duty: &&'static str| CALL_TASKS.contains(duty);
        let (calls, others): (Vec<_>, Vec<_>) =
            counts.into_iter().partition(|(duty, _)| is_of_calls(duty));
        Self {
            with_calls: calls.into_iter().map(|(_, time)| time).sum(),
            with_other: others.into_iter().map(|(_, time)| time).sum(),
        }
    }
}

/// Samples the load until the process ends.
pub async fn sample_periodically(gateway: Arc<Gateway>) {
    let mut readiness = Readiness::Starting;
    let mut busy_before = gateway.busy_times.counts();
    let mut busy_at_sample = Busy::of(&gateway);
    let mut sampled_at = gateway.now();
    let mut line_at = gateway.now();
    let mut longest_scheduling_delay = Duration::ZERO;
    let mut caller_sweep = CallerSweep::default();
    loop {
        let due_at = gateway.now() + SAMPLE_INTERVAL;
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let now = gateway.now();
        let scheduling_delay = now.saturating_sub(due_at);
        let busy = Busy::of(&gateway);
        let sample = LoadSample {
            span: now.saturating_sub(sampled_at),
            scheduling_delay,
            busy_with_calls: busy.with_calls.saturating_sub(busy_at_sample.with_calls),
            busy_with_other: busy.with_other.saturating_sub(busy_at_sample.with_other),
        };
        {
            let mut state = gateway.state();
            state.pressure.sample(now, &sample);
            if state.update_rotation(now) {
                gateway.gossip_wanted.notify_one();
            }
        }
        bulk_targets::update(&gateway);
        caller_sweep.run(&gateway, scheduling_delay);
        (busy_at_sample, sampled_at) = (busy, now);
        longest_scheduling_delay = longest_scheduling_delay.max(scheduling_delay);
        target_speeds::log_changes(&gateway);
        let found = Readiness::of(&gateway);
        if found != readiness {
            log_readiness(&gateway, found, readiness);
            readiness = found;
        }
        let span = now.saturating_sub(line_at);
        if span < LINE_INTERVAL {
            continue;
        }
        if longest_scheduling_delay >= SCHEDULING_DELAY_LOGGED
            || matches!(readiness, Readiness::Overloaded | Readiness::Shedding)
        {
            let busy = gateway.busy_times.summary_since(&busy_before);
            log_load(&gateway, span, longest_scheduling_delay, &busy);
        } else {
            gateway.link_times.take();
        }
        busy_before = gateway.busy_times.counts();
        longest_scheduling_delay = Duration::ZERO;
        line_at = now;
    }
}

/// Logs a change of readiness, with the utilisation of this instance and of its neighbours.
fn log_readiness(gateway: &Gateway, found: Readiness, before: Readiness) {
    let now = gateway.now();
    let (share, neighbours) = {
        let mut state = gateway.state();
        (state.pressure.share(now), *state.load_sharing.neighbours())
    };
    let fields = [
        ("now", found.as_str().to_owned()),
        ("before", before.as_str().to_owned()),
        ("share_percent", format!("{:.0}", share * 100.0)),
        (
            "mean_percent",
            format!("{:.0}", neighbours.mean_share * 100.0),
        ),
        ("peers", neighbours.count.to_string()),
        ("peers_out", neighbours.out.to_string()),
    ];
    let fields = fields
        .each_ref()
        .map(|(name, value)| (*name, value.as_str()));
    gateway.log(EventCode::ReadinessChanged, &fields);
}

/// Logs the processor time by task and the longest network operations of the last interval.
fn log_load(gateway: &Gateway, span: Duration, scheduling_delay: Duration, busy: &str) {
    let mut longest = String::new();
    for (what, took) in gateway.link_times.take() {
        let separator = if longest.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(longest, "{separator}{what}:{}", took.as_millis());
    }
    let now = gateway.now();
    let (delays, committed) = {
        let pressure = &mut gateway.state().pressure;
        (pressure.delays(now), pressure.committed())
    };
    let [received_ms, sent_ms, work_ms] = delays.map(|delay| delay.as_millis());
    let waits_ms = format!("in:{received_ms},out:{sent_ms},processor:{work_ms}");
    let fields = [
        ("span_ms", span.as_millis().to_string()),
        ("late_ms", scheduling_delay.as_millis().to_string()),
        ("busy_ms", busy.to_owned()),
        ("longest_ms", longest),
        ("waits_ms", waits_ms),
        ("committed_percent", committed.percents()),
        ("calls", gateway.open_calls().to_string()),
        ("connections", gateway.open_connections().to_string()),
        (
            "closed_unread",
            gateway.metrics.load.closed_unread().to_string(),
        ),
    ];
    let fields = fields
        .each_ref()
        .map(|(name, value)| (*name, value.as_str()));
    gateway.log(EventCode::InstanceLoaded, &fields);
}
