//! Load of a target, as it reports it.

/// Load of a target, as it reports it in its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Calls being executed.
    pub running: u64,
    /// Calls queued.
    pub waiting: u64,
    /// Calls that the target executes at a time, if stated.
    pub slots: Option<u64>,
    /// How long work takes on the target's machine at the moment of the report, in percent of the
    /// usual time, if stated.
    pub machine_percent: Option<u64>,
}
