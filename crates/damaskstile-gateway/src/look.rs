//! `look` is what an instance finds when it looks at what it did since it last looked.

use damaskstile_core::prelude::*;

/// `Look` is what an instance finds when it looks at what it did since it last looked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Look {
    /// Time since then.
    pub span: Duration,
    /// How much later than meant the look comes.
    pub lateness: Duration,
    /// Time spent on calls.
    pub busy_with_calls: Duration,
    /// Time spent on all else.
    pub busy_otherwise: Duration,
}
