//! Latency histograms by client account, and counters of outcomes.

use std::sync::{Mutex, PoisonError};

use damaskstile::core::prelude::*;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a latency histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AccountLabels {
    /// Client account.
    pub account: String,
}

/// Labels of the counter of outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabels {
    outcome: String,
    code: String,
}

type Histograms = Family<AccountLabels, Histogram>;

/// All histograms and counters of the daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    pub(crate) reserve_wait: Histograms,
    pub(crate) overhead: Histograms,
    pub(crate) first_token: Histograms,
    pub(crate) between_tokens: Histograms,
    outcomes: Family<CodeLabels, Counter>,
}

fn histogram() -> Histogram {
    // 21 buckets, doubling from 50 µs to about 52 s.
    Histogram::new(exponential_buckets(0.000_05, 2.0, 21))
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("damaskstile");
        let histograms = || Histograms::new_with_constructor(histogram);
        let metrics = Self {
            reserve_wait: histograms(),
            overhead: histograms(),
            first_token: histograms(),
            between_tokens: histograms(),
            outcomes: Family::default(),
            registry: Mutex::new(Registry::default()),
        };
        registry.register(
            "reserve_wait_seconds",
            "Time from a request's arrival until its tokens were reserved",
            metrics.reserve_wait.clone(),
        );
        registry.register(
            "overhead_seconds",
            "Time from a request's arrival until it was sent to a target",
            metrics.overhead.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time from a request's arrival until the first piece of its answer",
            metrics.first_token.clone(),
        );
        registry.register(
            "between_tokens_seconds",
            "Time between two pieces of an answer",
            metrics.between_tokens.clone(),
        );
        registry.register(
            "outcomes",
            "Requests by their outcome and code",
            metrics.outcomes.clone(),
        );
        Self {
            registry: Mutex::new(registry),
            ..metrics
        }
    }

    /// Encodes all metrics in the `OpenMetrics` text format.
    pub fn encode(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &registry);
        text
    }

    pub(crate) fn count_outcome(&self, outcome: &Outcome) {
        let (outcome, code) = match outcome {
            Outcome::Answered(_) => ("answered", "answered"),
            Outcome::NotRun { code, .. } => ("not_run", code.as_str()),
            Outcome::Unknown { code, .. } => ("outcome_unknown", code.as_str()),
        };
        let labels = CodeLabels {
            outcome: outcome.to_owned(),
            code: code.to_owned(),
        };
        self.outcomes.get_or_create(&labels).inc();
    }
}
