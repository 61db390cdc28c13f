//! Reports to peers of contents under which targets have ended.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_requests::Fingerprint;

/// Limit on ends accepted from one message: more than are ever reported for one content.
const ENDS_MAX: usize = 64;

/// `TargetEndReport` reports the end of a target.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct TargetEndReport {
    /// The target.
    #[prost(string, tag = "1")]
    pub target: TargetId,
    /// Its incarnation, if it states one.
    #[prost(uint64, optional, tag = "2")]
    pub incarnation: Option<TargetIncarnation>,
    /// Milliseconds since it ended.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// `SuspectReport` reports a content under which targets have ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SuspectReport {
    /// Fingerprint of the content.
    #[prost(bytes = "vec", tag = "1")]
    pub fingerprint: Vec<u8>,
    /// Client account whose calls carry it.
    #[prost(string, tag = "2")]
    pub account: AccountId,
    /// Targets that ended while running it.
    #[prost(message, repeated, tag = "3")]
    pub ends: Vec<TargetEndReport>,
    /// Milliseconds since it last ran to completion, or was answered on.
    #[prost(uint64, optional, tag = "4")]
    pub cleared_age_ms: Option<u64>,
    /// Position of a part in its prompts.
    #[prost(uint32, tag = "5")]
    pub position: u32,
}

impl SuspectReport {
    pub(super) fn of(suspect: damaskstile_requests::SuspectReport) -> Self {
        let ends = suspect.crashes.into_iter();
        Self {
            fingerprint: suspect.fingerprint.to_bytes(),
            account: suspect.account,
            ends: ends
                .map(|(identity, age)| TargetEndReport {
                    target: identity.target,
                    incarnation: identity.incarnation,
                    age_ms: unix_ms(age),
                })
                .collect(),
            cleared_age_ms: suspect.cleared_age.map(unix_ms),
            position: suspect.position,
        }
    }

    /// Returns the decoded report; `None` if the fingerprint is invalid.
    pub(super) fn to_suspect(&self) -> Option<damaskstile_requests::SuspectReport> {
        let ends = self.ends.iter().take(ENDS_MAX);
        Some(damaskstile_requests::SuspectReport {
            fingerprint: Fingerprint::from_bytes(&self.fingerprint)?,
            account: self.account.clone(),
            crashes: ends
                .map(|end| {
                    let identity = TargetIdentity::new(&end.target, end.incarnation);
                    (identity, Duration::from_millis(end.age_ms))
                })
                .collect(),
            cleared_age: self.cleared_age_ms.map(Duration::from_millis),
            position: self.position,
        })
    }
}
