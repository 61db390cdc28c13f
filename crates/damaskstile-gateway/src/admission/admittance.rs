//! How a call was admitted.

/// How a call was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admittance {
    /// Within all limits.
    Regular,
    /// Above a lower limit for calls that yield, so that they are not starved.
    InTurn,
}

impl Admittance {
    /// Returns the outcome as metrics name it.
    ///
    /// ```
    /// use damaskstile_gateway::admission::Admittance;
    /// assert_eq!(Admittance::InTurn.as_str(), "admitted_in_turn");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Regular => "admitted",
            Self::InTurn => "admitted_in_turn",
        }
    }
}
