//! Limit for calls in turn.

/// Limit by which a call is judged that a lower limit rejects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// The lower limit.
    None,
    /// A limit between the lower and the full one.
    Relaxed,
    /// The full limit.
    Full,
}
