//! `readiness` tells whether an instance takes new connections, and why not.

use std::time::Duration;

use crate::gateway::Gateway;
use crate::phase::Phase;

/// Time after a start in which an instance that holds no tokens yet is not ready: its first write
/// waits for peers that may write for it. After that it may be the store that is away, and what
/// needs no tokens is served without it.
const TOKENS_PATIENCE: Duration = Duration::from_secs(2);

/// `Readiness` tells whether an instance takes new connections, and why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It takes them.
    Ready,
    /// It is being stopped.
    Stopping,
    /// It knows no catalogue yet.
    Starting,
    /// It has just started and holds no tokens yet.
    WithoutTokens,
    /// It carries more than its link or its processor does.
    Overloaded,
}

impl Readiness {
    /// Finds out whether an instance takes new connections now.
    #[must_use]
    pub fn of(gateway: &Gateway) -> Self {
        if *gateway.phase.borrow() != Phase::Serving {
            return Self::Stopping;
        }
        let now = gateway.now();
        let is_young = now.saturating_sub(gateway.started_at) < TOKENS_PATIENCE;
        let state = gateway.state();
        if state.catalogue.get().is_none() {
            Self::Starting
        } else if is_young && !state.holder.is_listed() {
            Self::WithoutTokens
        } else if state.pressure.is_high(now) {
            Self::Overloaded
        } else {
            Self::Ready
        }
    }

    /// Returns its name in logs and metrics.
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
        }
    }
}
