//! A run whose target is silent while a successor starts.

/// What a silent run does next.
#[derive(Debug)]
pub(crate) enum RunStep<T> {
    /// It goes on.
    GoesOn(T),
    /// It has ended without an answer that the call can end with.
    Ended(T),
}

/// A run whose target is silent while a successor starts. Dropping it cancels it.
pub(crate) trait SilentRun: Send {
    /// What the run goes on or ends with.
    type Step: Send;

    /// Waits until the run goes on or ends. May be cancelled, and called again unless the run has
    /// ended.
    fn next(&mut self) -> impl Future<Output = RunStep<Self::Step>> + Send;

    /// Cancels the run, which was silent for too long.
    fn give_up(self);
}
