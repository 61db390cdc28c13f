//! Metrics of calls that go on at another target.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of the counter of successors.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SuccessorLabels {
    outcome: &'static str,
}

/// `SuccessionMetrics` counts the targets that were chosen to go on with a call whose run was silent
/// or had ended.
#[derive(Debug)]
pub struct SuccessionMetrics {
    successors: Family<SuccessorLabels, Counter>,
}

impl SuccessionMetrics {
    /// Makes and registers the metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            successors: Family::default(),
        };
        let help = "Targets chosen to go on with a call: whether they took it, or were not needed";
        registry.register("successors", help, metrics.successors.clone());
        metrics
    }

    /// Counts a successor that took its call.
    pub(crate) fn taken(&self) {
        self.note("taken");
    }

    /// Counts a successor that did not take its call.
    pub(crate) fn failed(&self) {
        self.note("failed");
    }

    /// Counts a successor that was cancelled, since the silent run went on.
    pub(crate) fn cancelled(&self) {
        self.note("cancelled");
    }

    fn note(&self, outcome: &'static str) {
        let labels = SuccessorLabels { outcome };
        self.successors.get_or_create(&labels).inc();
    }
}
