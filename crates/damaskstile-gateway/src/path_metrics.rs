//! Metrics of paths to targets.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::peers::TunnelOutcome;
use crate::tunnel_failure::TunnelFailure;

/// Labels of metrics by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Labels of metrics by state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

/// Metrics of paths to targets: of tunnels through peers, and of services with limited access.
#[derive(Debug, Default)]
pub struct PathMetrics {
    opened: Family<OutcomeLabels, Counter>,
    served: Family<OutcomeLabels, Counter>,
    services: Family<StateLabels, Gauge>,
    taken_up: Family<OutcomeLabels, Counter>,
}

impl PathMetrics {
    /// Makes and registers the metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Requests to peers for a tunnel to a target, by outcome";
        registry.register("tunnels", help, metrics.opened.clone());
        let help = "Requests of peers for a tunnel to a target, by outcome";
        registry.register("served_tunnels", help, metrics.served.clone());
        let help = "Services whose targets only peers reach, and those whose targets are brittle";
        registry.register("services", help, metrics.services.clone());
        let help = "Streams that callers took up again, by who knew where they began";
        registry.register("taken_up_streams", help, metrics.taken_up.clone());
        metrics
    }

    /// Sets the number of services from whose targets this instance is partitioned, and of those
    /// whose targets are brittle.
    pub(crate) fn sample_services(&self, partitioned: usize, brittle: usize) {
        for (state, services) in [("partitioned", partitioned), ("brittle", brittle)] {
            let services = i64::try_from(services).unwrap_or(i64::MAX);
            let labels = StateLabels { state };
            self.services.get_or_create(&labels).set(services);
        }
    }

    /// Counts a stream that a caller took up again.
    pub(crate) fn taken_up(&self, outcome: &'static str) {
        let labels = OutcomeLabels { outcome };
        self.taken_up.get_or_create(&labels).inc();
    }

    /// Counts a request to peers.
    pub(crate) fn opened(&self, failure: Option<TunnelFailure>) {
        let outcome = match failure {
            None => "connected",
            Some(TunnelFailure::NoPeer) => "no_peer",
            Some(TunnelFailure::Refused) => "refused",
            Some(TunnelFailure::Unreachable) => "unreachable",
        };
        self.opened.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts a request of a peer.
    pub(crate) fn served(&self, outcome: TunnelOutcome) {
        let outcome = outcome.as_str();
        self.served.get_or_create(&OutcomeLabels { outcome }).inc();
    }
}
