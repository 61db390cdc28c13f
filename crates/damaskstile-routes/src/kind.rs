//! Types of routes.

/// `RouteKind` determines whether a route's calls may be repeated, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A call may run more than once.
    Idempotent,
    /// A call runs at most once.
    NonIdempotent,
    /// A call is answered by a stream of events, which another target may resume after the last
    /// event received.
    ResumableStream,
    /// A call is answered by a stream of events and runs at most once.
    Stream,
}

impl RouteKind {
    /// Returns whether a call may be sent again although it may already have run.
    ///
    /// ```
    /// use damaskstile_routes::RouteKind;
    /// assert!(RouteKind::Idempotent.is_repeatable());
    /// assert!(!RouteKind::Stream.is_repeatable());
    /// ```
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether answers are relayed event by event.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}
