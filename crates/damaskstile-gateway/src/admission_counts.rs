//! Metric of admitted and rejected calls.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Labels of the metric.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AdmissionLabels {
    rank: u32,
    outcome: &'static str,
}

/// Counts calls that were admitted or rejected for load, by rank.
#[derive(Debug, Clone, Default)]
pub struct AdmissionCounts {
    counts: Family<AdmissionLabels, Counter>,
}

impl AdmissionCounts {
    /// Adds the metric to a registry.
    ///
    /// ```
    /// use damaskstile_gateway::admission_counts::AdmissionCounts;
    /// use prometheus_client::encoding::text::encode;
    /// use prometheus_client::registry::Registry;
    /// let mut registry = Registry::with_prefix("damaskstile");
    /// let counts = AdmissionCounts::default();
    /// counts.register(&mut registry);
    /// counts.add(2, "rejected");
    /// let mut text = String::new();
    /// encode(&mut text, &registry).unwrap();
    /// assert!(text.contains("damaskstile_admissions_total{rank=\"2\",outcome=\"rejected\"} 1"));
    /// ```
    pub fn register(&self, registry: &mut Registry) {
        let help = "Calls admitted or rejected for the load of the instance, by priority";
        registry.register("admissions", help, self.counts.clone());
    }

    /// Counts a call.
    pub fn add(&self, rank: u8, outcome: &'static str) {
        let rank = u32::from(rank);
        let labels = AdmissionLabels { rank, outcome };
        self.counts.get_or_create(&labels).inc();
    }
}
