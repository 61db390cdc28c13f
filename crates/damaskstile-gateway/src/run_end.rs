//! What became of a run that a call goes on after.

/// What became of a run that a call goes on after, as the logs name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It is still connected.
    Open,
    /// Its connection has ended.
    Ended,
    /// It was cancelled while it was silent, after another target had been sent the call.
    GivenUp,
}

impl RunEnd {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Ended => "ended",
            Self::GivenUp => "given_up",
        }
    }
}
