//! What a connection is doing.

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No call has been received: the connection is idle, or its head is incomplete.
    Waiting,
    /// The body of a call is being received, so the call has not run.
    Receiving,
    /// The call waits or runs.
    Running,
    /// The answer is being passed on.
    Answering,
    /// The answer was sent, and the rest of the call is read so that the caller sees the answer.
    Lingering,
}
