//! The report that instances exchange about a content that may crash targets.

use damaskstile_core::prelude::*;

use crate::fingerprint::Fingerprint;

/// `SuspectReport` reports the crash history of a content to peers. Times are sent as ages,
/// since the instances do not share a clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectReport {
    /// Fingerprint of the content.
    pub fingerprint: Fingerprint,
    /// Client account whose calls have this content.
    pub account: AccountId,
    /// Targets that crashed while they ran it, with the time since each crash.
    pub crashes: Vec<(TargetIdentity, Duration)>,
    /// Time since it last ran to completion; `None` if no completion is known.
    pub cleared_age: Option<Duration>,
}
