//! Metrics of what is held for callers.

use damaskstile_core::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::caller_resources::ReleaseCause;

/// Labels of metrics by cause.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

/// Metrics of what is held for callers.
#[derive(Debug, Default)]
pub struct CallerMetrics {
    releases: Family<CauseLabels, Counter>,
    held_bytes: Gauge,
    connections: Gauge,
}

impl CallerMetrics {
    /// Makes and registers the metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Connections of callers closed early, and calls refused, by cause";
        registry.register("caller_releases", help, metrics.releases.clone());
        let help = "Bytes held for callers";
        registry.register("caller_held_bytes", help, metrics.held_bytes.clone());
        let help = "Open connections of callers";
        registry.register("caller_connections", help, metrics.connections.clone());
        metrics
    }

    /// Adds releases since the last call.
    pub(crate) fn add_releases(&self, releases: &BTreeMap<ReleaseCause, u64>) {
        for (cause, count) in releases {
            let cause = cause.as_str();
            self.releases
                .get_or_create(&CauseLabels { cause })
                .inc_by(*count);
        }
    }

    /// Sets what is held now.
    pub(crate) fn sample(&self, held_bytes: usize, connections: usize) {
        let number = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.held_bytes.set(number(held_bytes));
        self.connections.set(number(connections));
    }
}
