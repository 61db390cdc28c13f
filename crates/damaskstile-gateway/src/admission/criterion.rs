//! Criteria by which calls are rejected.

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
