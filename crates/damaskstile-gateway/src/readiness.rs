//! Readiness of an instance for new connections.

use std::time::Duration;

use crate::gateway::Gateway;
use crate::phase::Phase;

/// Time after the start in which an instance without tokens is not ready: its first ledger write
/// waits for peers that may write for it. Later than that the store may be unreachable, and calls
/// that need no tokens are served without it.
const TOKENS_WAIT_AT_START: Duration = Duration::from_secs(2);

/// Whether an instance accepts new connections, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// New connections are accepted.
    Ready,
    /// The instance is shutting down.
    Stopping,
    /// No catalogue has been loaded yet.
    Starting,
    /// The instance has just started and holds no tokens yet.
    WithoutTokens,
    /// The link or the processor is overloaded.
    Overloaded,
    /// The instance has more load than the others of its data centre.
    Shedding,
}

impl Readiness {
    /// Determines the current readiness.
    #[must_use]
    pub fn of(gateway: &Gateway) -> Self {
        if *gateway.phase.borrow() != Phase::Serving {
            return Self::Stopping;
        }
        let now = gateway.now();
        let is_young = now.saturating_sub(gateway.started_at) < TOKENS_WAIT_AT_START;
        let state = gateway.state();
        if state.catalogue.get().is_none() {
            Self::Starting
        } else if is_young && !state.holder.is_listed() {
            Self::WithoutTokens
        } else if state.load_sharing.applies() {
            if state.load_sharing.is_in_rotation() {
                Self::Ready
            } else {
                Self::Shedding
            }
        } else if state.pressure.is_overloaded(now) {
            Self::Overloaded
        } else {
            Self::Ready
        }
    }

    /// Returns the name used in logs and metrics.
    ///
    /// ```
    /// use damaskstile_gateway::readiness::Readiness;
    /// assert_eq!(Readiness::Overloaded.as_str(), "overloaded");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Stopping => "stopping",
            Self::Starting => "starting",
            Self::WithoutTokens => "without_tokens",
            Self::Overloaded => "overloaded",
            Self::Shedding => "shedding",
        }
    }
}
