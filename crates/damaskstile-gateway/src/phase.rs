//! Phases of a shutdown.

/// Phase of a shutdown, in the order in which they follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No shutdown has been ordered.
    Serving,
    /// The readiness check fails, so the balancer stops sending connections; calls are still
    /// accepted if they will finish in time.
    Leaving,
    /// New calls are refused.
    Closing,
    /// Open calls are cut off, connections are closed, and the process ends.
    Ending,
}
