//! The report that instances exchange about a content that may crash targets.

use damaskstile_core::prelude::*;

use crate::fingerprint::Fingerprint;

/// `SuspectReport` reports the crash history of a content to peers. Times are sent as ages,
/// since the instances do not share a clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectReport {
    /// Fingerprint of the content, or of a part of prompts.
    pub fingerprint: Fingerprint,
    /// Client account whose calls have this content.
    pub account: AccountId,
    /// Targets that crashed while they ran it, with the time since each crash.
    pub crashes: Vec<(TargetIdentity, Duration)>,
    /// Time since it last ran to completion, or since a target last began to write an answer on the
    /// part; `None` if that is not known.
    pub cleared_age: Option<Duration>,
    /// Position of a part in its prompts.
    pub position: u32,
}
