//! Metrics of the copies of runs.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::copy_outcome::CopyOutcome;

/// Labels of the counter of copies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CopyLabels {
    outcome: &'static str,
}

/// `CopyMetrics` counts the copies of runs and the tokens whose memory was copied.
#[derive(Debug)]
pub struct CopyMetrics {
    runs: Family<CopyLabels, Counter>,
    tokens: Counter,
}

impl CopyMetrics {
    /// Makes and registers the metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            runs: Family::default(),
            tokens: Counter::default(),
        };
        let help = "Copies of runs: made, and after a crash used or missing";
        registry.register("run_copies", help, metrics.runs.clone());
        let help = "Tokens of runs whose memory was copied to a second target";
        registry.register("copied_tokens", help, metrics.tokens.clone());
        metrics
    }

    /// Counts a copy by its outcome.
    pub(crate) fn note(&self, outcome: CopyOutcome) {
        let outcome = outcome.as_str();
        self.runs.get_or_create(&CopyLabels { outcome }).inc();
    }

    /// Counts the tokens of a run that had a copy.
    pub(crate) fn add_tokens(&self, tokens: u64) {
        self.tokens.inc_by(tokens);
    }
}
