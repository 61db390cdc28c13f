//! `phase` is how far a stop has come.

/// `Phase` is how far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No stop was asked for.
    Serving,
    /// The balancer is told to send no more work; what comes is still served.
    Leaving,
    /// No new work is taken.
    Closing,
    /// What is still open is cut off, and the process ends.
    Ending,
}
