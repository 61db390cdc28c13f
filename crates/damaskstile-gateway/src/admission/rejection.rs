//! Why a call was rejected.

use damaskstile_core::prelude::*;

/// Criterion that rejected a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Criterion {
    /// The call would wait for longer than its limit.
    Wait,
    /// The outgoing queue would delay events of open streams.
    Pauses,
    /// Open streams need most of the capacity until their last events.
    Committed,
    /// The account has most of the recent work of an overloaded instance.
    Account,
}

impl Criterion {
    /// Returns the criterion as logs name it.
    ///
    /// ```
    /// use damaskstile_gateway::admission::Criterion;
    /// assert_eq!(Criterion::Pauses.as_str(), "pauses");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Pauses => "pauses",
            Self::Committed => "committed",
            Self::Account => "account",
        }
    }
}

/// Why a call was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Criterion that rejected the call.
    pub criterion: Criterion,
    /// Limit in force for the call.
    pub limit: Duration,
    /// Queueing delay that was compared with the limit.
    pub delay: Duration,
    /// Priority of the calls that the call yields to; `None` if it yields to none.
    pub yields_to: Option<u8>,
}
