//! Head of a target's answer, independent of the dialect of its headers.

use damaskstile_core::prelude::*;
use damaskstile_targets::{AdvertisedLimit, ReportedLoad};

use crate::handling::Handling;

/// What the headers of a target's answer say.
#[derive(Debug, Clone, Default)]
pub struct AnswerHead {
    /// Id of the attempt that the answer belongs to.
    pub id: Option<String>,
    /// Whether the target has signed the answer as its own.
    pub is_signed: bool,
    /// Whether the call was executed.
    pub handling: Handling,
    /// Whether the target announces that it is leaving.
    pub is_leaving: bool,
    /// Backoff: time for which the target wants no calls from this instance.
    pub backoff: Option<Duration>,
    /// Rate limit that the target advertises.
    pub advertised_limit: AdvertisedLimit,
    /// Number of calls a second that the target may reject for lack of room before it fails.
    pub rejection_limit: AdvertisedLimit,
    /// The target's load.
    pub load: Option<ReportedLoad>,
    /// Time for which the connection may be reused; `None` if it must be closed.
    pub reuse_for: Option<Duration>,
}
