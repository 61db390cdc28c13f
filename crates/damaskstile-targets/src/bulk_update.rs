//! What changed when an instance decided anew which targets take bulk prompts.

use damaskstile_core::prelude::*;

/// What changed when an instance decided anew which targets take bulk prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BulkUpdate {
    /// Services whose number of targets changed, with the former and the new number.
    pub changes: Vec<(ServiceId, usize, usize)>,
    /// Whether the load at this instance has risen by so much that peers should learn of it at
    /// once.
    pub has_risen: bool,
}
