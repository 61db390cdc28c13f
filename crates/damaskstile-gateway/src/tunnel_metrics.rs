//! Metrics of tunnels to targets through peers.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::peers::TunnelOutcome;
use crate::tunnel_failure::TunnelFailure;

/// Labels of metrics by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Metrics of tunnels to targets through peers.
#[derive(Debug, Default)]
pub struct TunnelMetrics {
    opened: Family<OutcomeLabels, Counter>,
    served: Family<OutcomeLabels, Counter>,
}

impl TunnelMetrics {
    /// Makes and registers the metrics.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Requests to peers for a tunnel to a target, by outcome";
        registry.register("tunnels", help, metrics.opened.clone());
        let help = "Requests of peers for a tunnel to a target, by outcome";
        registry.register("served_tunnels", help, metrics.served.clone());
        metrics
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
