//! `phase` is how far a stop has come.

/// `Phase` is how far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop was asked for.
    Serving,
    /// The balancer is told to send no more work; what comes is still served where it will be over
    /// in time.
    Leaving,
    /// No new work is taken; what comes is refused.
    Closing,
    /// What is still open is cut off, connections are closed, and the process ends.
    Ending,
}
