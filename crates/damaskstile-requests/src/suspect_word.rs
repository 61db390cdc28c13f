//! `suspect_word` is what an instance tells its peers of a content under which targets ended.

use damaskstile_core::prelude::*;

use crate::fingerprint::Fingerprint;

/// `SuspectWord` is what an instance tells its peers of a content under which targets ended. Times
/// are told as ages, since every instance has a clock of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectWord {
    /// The content.
    pub fingerprint: Fingerprint,
    /// Client account whose calls ask for it.
    pub account: AccountId,
    /// Targets that ended under it, each with the time since.
    pub ends: Vec<(TargetIdentity, Duration)>,
    /// Time since it last ran to its end.
    pub cleared_age: Option<Duration>,
}
