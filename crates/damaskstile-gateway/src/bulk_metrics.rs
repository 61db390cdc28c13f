//! Metrics of bulk prompts.

use damaskstile_core::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of metrics by service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// `BulkMetrics` holds the metrics of bulk prompts.
#[derive(Debug)]
pub struct BulkMetrics {
    targets: Family<ServiceLabels, Gauge>,
    queued_prompts: Gauge,
    queue_wait: Histogram,
}

impl BulkMetrics {
    /// Makes and registers the metrics.
    #[must_use]
    pub fn new(registry: &mut Registry) -> Self {
        let targets = Family::default();
        let queued_prompts = Gauge::default();
        // Buckets from a millisecond to about 4 s; calls wait for their objective at most.
        let queue_wait = Histogram::new(exponential_buckets(0.001, 2.0, 13));
        let help = "Targets set apart for bulk prompts, by service";
        registry.register("bulk_targets", help, targets.clone());
        let help = "Bulk prompts that wait in the queue";
        registry.register("queued_prompts", help, queued_prompts.clone());
        let help = "Seconds that bulk prompts waited in the queue";
        registry.register("queue_wait_seconds", help, queue_wait.clone());
        Self {
            targets,
            queued_prompts,
            queue_wait,
        }
    }

    /// Sets the number of targets set apart for a service's bulk prompts.
    pub fn set_targets(&self, service: &str, targets: usize) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        let targets = i64::try_from(targets).unwrap_or(i64::MAX);
        self.targets.get_or_create(&labels).set(targets);
    }

    /// Sets the number of bulk prompts that wait.
    pub fn set_queued(&self, prompts: usize) {
        let prompts = i64::try_from(prompts).unwrap_or(i64::MAX);
        self.queued_prompts.set(prompts);
    }

    /// Records how long a bulk prompt waited.
    pub fn waited(&self, wait: Duration) {
        self.queue_wait.observe(wait.as_secs_f64());
    }
}
