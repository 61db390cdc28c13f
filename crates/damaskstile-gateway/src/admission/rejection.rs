//! Why a call was rejected.

use damaskstile_core::prelude::*;

use super::criterion::Criterion;

/// Why a call was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Criterion that rejected the call.
    pub criterion: Criterion,
    /// Limit in force for the call.
    pub limit: Duration,
    /// Queueing delay that was compared with the limit.
    pub delay: Duration,
    /// Priority of the calls that the call yields to; `None` if it yields to none.
    pub yields_to: Option<u8>,
}
