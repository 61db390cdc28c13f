//! Outcomes of the copies of runs.

/// `CopyOutcome` is what became of a run's copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyOutcome {
    /// A run was sent with the address of a second target.
    Made,
    /// The run's target crashed, and the run continues at the second target.
    Continued,
    /// The run's target crashed, and the second target did not continue the run.
    Missing,
}

impl CopyOutcome {
    /// Returns the name used in logs and metrics.
    ///
    /// ```
    /// use damaskstile_gateway::copy_outcome::CopyOutcome;
    /// assert_eq!(CopyOutcome::Continued.as_str(), "continued");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Made => "made",
            Self::Continued => "continued",
            Self::Missing => "missing",
        }
    }
}
