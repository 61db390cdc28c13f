//! Reasons for copying a run.

/// `CopyReason` is why a run gets a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyReason {
    /// Crashes cut many runs of the service in the fleet.
    LostRuns,
    /// Calls to the run's target failed recently.
    SuspectTarget,
}

impl CopyReason {
    /// Returns the name used in logs.
    ///
    /// ```
    /// use damaskstile_gateway::copy_reason::CopyReason;
    /// assert_eq!(CopyReason::LostRuns.as_str(), "lost_runs");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LostRuns => "lost_runs",
            Self::SuspectTarget => "suspect_target",
        }
    }
}
