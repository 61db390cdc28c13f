//! Results of reservations.

use damaskstile_core::prelude::*;

use crate::effect::DrawPlan;

/// Result of a reservation request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reserve {
    /// The tokens are reserved.
    Ready(Vec<DrawPlan>),
    /// The run waits for tokens; the result follows as [`HolderEffect::Ready`] or
    /// [`HolderEffect::Refused`].
    ///
    /// [`HolderEffect::Ready`]: crate::HolderEffect::Ready
    /// [`HolderEffect::Refused`]: crate::HolderEffect::Refused
    Waiting,
    /// No tokens can be reserved, and the run does not wait for any.
    Refused(RefusalCode),
}
