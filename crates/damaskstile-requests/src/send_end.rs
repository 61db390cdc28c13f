//! `send_end` tells how a send to a target ended that brought no answer for the caller.

/// `SendEnd` tells how a send ended that brought no answer for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// No byte reached a target.
    NotSent,
    /// The target proved that it has not run the call.
    NotRun,
    /// The call may have run, in whole or in part.
    Unknown,
    /// The connection broke after the call was sent; it may have run, in whole or in part.
    Broken,
    /// The call ran and failed at the target.
    Failed,
}
