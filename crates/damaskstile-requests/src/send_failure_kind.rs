//! Outcome of a send to a target that yielded no answer for the caller.

/// `SendFailureKind` is the outcome of a send that yielded no answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailureKind {
    /// No byte reached a target.
    NotSent,
    /// The target has confirmed that it did not run the call.
    NotRun,
    /// The call may have run, in whole or in part.
    Unknown,
    /// The connection broke after the call was sent; it may have run, in whole or in part.
    Broken,
    /// The call ran and failed at the target.
    Failed,
}
