//! Streams of one route.

use damaskstile_core::prelude::*;

use super::learned_stream::LearnedStream;

/// Streams of one route.
#[derive(Debug, Clone, Default)]
pub struct RouteStreams {
    /// What streams of the route take.
    pub learned: LearnedStream,
    /// Number of open streams.
    pub open: u32,
    /// Pause limit at the last admission.
    pub pause_limit: Option<Duration>,
}
