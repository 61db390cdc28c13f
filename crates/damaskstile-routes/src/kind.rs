//! `kind` says what may be repeated of a route's calls.

/// `RouteKind` says what may be repeated of a route's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A call may run more than once.
    Idempotent,
    /// A call runs at most once.
    NonIdempotent,
    /// A call answers with a series of events and may go on elsewhere after the last one received.
    ResumableStream,
    /// A call answers with a series of events and runs at most once.
    Stream,
}

impl RouteKind {
    /// Tells whether a call may be sent again although it may have run.
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

    /// Tells whether answers are passed on event by event.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}
