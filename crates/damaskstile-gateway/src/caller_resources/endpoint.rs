//! Addresses at which a process accepts connections over HTTP.

/// An address at which a process accepts connections over HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// For callers.
    Callers,
    /// For the balancer's readiness check.
    Readiness,
    /// For metrics.
    Metrics,
}
