//! Stored claims, which ensure that a non-idempotent request runs at most once.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

/// `ClaimState` is the progress of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The run that holds the claim may send the request, or has sent it.
    Claimed,
    /// The request was answered completely.
    Answered {
        /// Target that answered.
        target: TargetId,
        /// Size of the prompt, in tokens.
        prompt_tokens: u64,
        /// Size of the generated output, in tokens.
        output_tokens: u64,
    },
    /// The request was sent and its outcome is not known.
    Unknown,
}

/// `Claim` is the sole right of one run to send a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Run that holds the claim.
    pub run: RunId,
    /// Instance of the run.
    pub instance: InstanceId,
    /// Progress of the request.
    pub state: ClaimState,
}

/// Returns the time in a `UUIDv7` key, in milliseconds since the Unix epoch; `None` for any other
/// key.
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
