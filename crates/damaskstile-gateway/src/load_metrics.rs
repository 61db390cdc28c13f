//! Metrics of an instance's load and readiness.

use damaskstile_core::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::readiness::Readiness;

/// Labels of metrics by state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

/// Labels of metrics by background task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DutyLabels {
    duty: &'static str,
}

/// Metrics of an instance's load and readiness.
#[derive(Debug, Clone, Default)]
pub struct LoadMetrics {
    readiness: Family<StateLabels, Gauge>,
    busy_ms: Family<DutyLabels, Gauge>,
    load_percent: Family<StateLabels, Gauge>,
    closed_unread: Counter,
}

impl LoadMetrics {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        let help = "1 for whether the instance takes new connections, and why not";
        registry.register("readiness", help, self.readiness.clone());
        let help = "Milliseconds spent on each duty since the start";
        registry.register("busy_ms", help, self.busy_ms.clone());
        let help = "Share in use of the capacity for calls, here and as the mean of neighbours";
        registry.register("load_percent", help, self.load_percent.clone());
        let help = "New connections closed unread since other instances have more room";
        registry.register("closed_unread", help, self.closed_unread.clone());
    }

    /// Sets the current readiness.
    pub fn sample_readiness(&self, readiness: Readiness) {
        self.readiness.clear();
        let state = readiness.as_str();
        self.readiness.get_or_create(&StateLabels { state }).set(1);
    }

    /// Counts a new connection that is closed unread.
    pub(crate) fn connection_closed_unread(&self) {
        self.closed_unread.inc();
    }

    /// Returns the number of new connections that were closed unread.
    #[must_use]
    pub fn closed_unread(&self) -> u64 {
        self.closed_unread.get()
    }

    /// Sets the time spent on each background task.
    pub fn sample_busy(&self, times: BTreeMap<&'static str, Duration>) {
        for (duty, time) in times {
            let ms = i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
            self.busy_ms.get_or_create(&DutyLabels { duty }).set(ms);
        }
    }

    /// Sets the utilisation of this instance and the mean of its neighbours.
    #[allow(clippy::cast_possible_truncation)] // a few hundred percent
    pub fn sample_load(&self, share: f64, mean_share: f64) {
        for (state, share) in [("own", share), ("neighbours", mean_share)] {
            let percent = (share * 100.0) as i64;
            self.load_percent
                .get_or_create(&StateLabels { state })
                .set(percent);
        }
    }
}
