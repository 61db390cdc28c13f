//! `book_options` sets what the choice of a listed target goes by.

use damaskstile_core::prelude::*;

/// `BookOptions` sets what the choice of a listed target goes by. Costs are in milliseconds that
/// a call is likely to wait for its first token.
#[derive(Debug, Clone, PartialEq)]
pub struct BookOptions {
    /// Prompt tokens that a target reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of one call that runs there already.
    pub running_ms: f64,
    /// Cost of a target at which every call failed lately.
    pub failure_ms: f64,
    /// Cost of a plain service's target in another data centre: a tie-break, because its answers
    /// cross a link that is paid by the byte.
    pub distance_ms: f64,
    /// Part of a prompt taken to be cached at the target that its session hashes to.
    pub home_share: f64,
    /// Time for which a target stays in use after the list lost it around an outage of the list.
    pub lapse_grace: Duration,
}

impl Default for BookOptions {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 56.9,
            running_ms: 3.0,
            failure_ms: 2_000.0,
            distance_ms: 1.0,
            home_share: 0.95,
            lapse_grace: Duration::from_millis(1_500),
        }
    }
}
