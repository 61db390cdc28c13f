//! `limit_word` is the newest that an instance knows of the limit that a target names.

use damaskstile_core::prelude::*;

/// `LimitWord` is the newest that an instance knows of the limit that a target names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitWord {
    /// Calls a second of all instances together; `None` where the target names no limit any more.
    pub calls_per_s: Option<f64>,
    /// When an answer named it. Where none does any more, when the call was sent whose answer
    /// named none.
    pub at: Duration,
}

impl LimitWord {
    /// Tells whether it says the same of the calls that the target takes as another word.
    #[must_use]
    pub fn is_like(&self, other: Option<&Self>) -> bool {
        other.is_some_and(|other| other.calls_per_s == self.calls_per_s)
    }
}
