//! What a call demands of an instance.

use damaskstile_routes::CallClass;

/// What a call demands of an instance. What its answer takes is learned by route.
#[derive(Debug, Clone, Copy)]
pub struct CallDemand<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Client account; empty for calls without one.
    pub account: &'a str,
    /// Priority in force, objective and pause limit.
    pub class: CallClass,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Bytes of the call on the outgoing link.
    pub bytes: usize,
}
