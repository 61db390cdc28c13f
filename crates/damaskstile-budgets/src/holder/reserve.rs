//! `reserve` holds the answer to a request for tokens.

use damaskstile_core::prelude::*;

use crate::effect::DrawPlan;

/// `Reserve` is the answer to a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reserve {
    /// The tokens are reserved.
    Ready(Vec<DrawPlan>),
    /// The answer comes as an effect.
    Waiting,
    /// There is no hope of tokens now.
    Refused(RefusalCode),
}
