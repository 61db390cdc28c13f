//! `claim` holds the stored claims by which a non-idempotent request runs at most once.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `ClaimState` is how far a claimed request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Its claimer may send it, or has sent it.
    Claimed,
    /// It was answered whole.
    Answered {
        /// Target that answered.
        target: TargetId,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens that the target generated.
        output_tokens: u64,
    },
    /// It was sent and its outcome is not known.
    Unknown,
}

/// `Claim` gives one run the sole right to send a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Run that has the right.
    pub run: RunId,
    /// Instance of the run.
    pub instance: InstanceId,
    /// How far it has come.
    pub state: ClaimState,
}

/// Returns the time in a `UUIDv7` key, in milliseconds since the Unix epoch.
///
/// ```
/// use damaskstile_requests::claim::key_unix_ms;
/// assert_eq!(key_unix_ms("0192d3f0-0000-7000-8000-000000000000"), Some(0x0192_d3f0_0000));
/// assert_eq!(key_unix_ms("not-a-uuid"), None);
/// ```
#[must_use]
pub fn key_unix_ms(key: &str) -> Option<u64> {
    let uuid = uuid::Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
