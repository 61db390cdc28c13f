//! Why a caller had to give way.

/// Why a caller had to give way, or a connection was closed early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseCause {
    /// There was no room for a new connection or call, and nobody who could give way.
    NoRoom,
    /// The connection gave way to a new one.
    NewConnection,
    /// The body of the call gave way to other calls, and the call was refused as not run.
    BodyMemory,
    /// The caller did not read its answer, which gave way to other calls.
    UnreadAnswer,
    /// The caller sent too much ahead of its answer.
    SentAhead,
    /// The head of a call took too long.
    SlowHead,
    /// The connection was idle for too long.
    Idle,
    /// The caller accepted nothing of its answer for too long.
    SlowReader,
    /// The caller left while its answer waited for room.
    CallerLeft,
}

impl ReleaseCause {
    /// Returns the name for logs and metrics.
    ///
    /// ```
    /// use damaskstile_gateway::caller_resources::ReleaseCause;
    /// assert_eq!(ReleaseCause::SlowHead.as_str(), "slow_head");
    /// ```
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no_room",
            Self::NewConnection => "new_connection",
            Self::BodyMemory => "body_memory",
            Self::UnreadAnswer => "unread_answer",
            Self::SentAhead => "sent_ahead",
            Self::SlowHead => "slow_head",
            Self::Idle => "idle",
            Self::SlowReader => "slow_reader",
            Self::CallerLeft => "caller_left",
        }
    }

    /// Returns whether the system should drop what it still has to send.
    #[must_use]
    pub const fn drops_unsent(self) -> bool {
        matches!(
            self,
            Self::UnreadAnswer | Self::SentAhead | Self::SlowReader | Self::Idle
        )
    }
}
