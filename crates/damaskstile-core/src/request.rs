//! `request` describes a caller's request as it reaches the decisions.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RequestHandle, RequestKey, ServiceId};

/// `Priority` orders requests that wait for the same targets. The first is served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Short status checks that somebody waits for.
    Urgent,
    /// Interactive questions.
    #[default]
    Normal,
    /// Long drafts.
    Bulk,
}

/// `NewRequest` is a caller's request after its form was checked. Its body stays with the host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewRequest {
    /// The host's handle of the call.
    pub request: RequestHandle,
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// The caller's key; where absent, one is made.
    pub key: Option<RequestKey>,
    /// Service that is addressed.
    pub service: ServiceId,
    /// Hash of the body, to tell a repeat from a key that is used twice.
    pub body_hash: u64,
    /// Size of the prompt in bytes; 0 for plain services.
    pub prompt_bytes: u64,
    /// Cap of the output that the caller asks for.
    pub max_output_tokens: Option<u64>,
    /// The caller's own mark, which may only make a request non-idempotent.
    pub non_idempotent: bool,
    /// Whether chunks are relayed as they come, or once the answer is whole.
    pub is_streamed: bool,
    /// Priority that the caller asks for.
    pub priority: Option<Priority>,
    /// Time the caller gives, from its arrival.
    pub time_limit: Option<Duration>,
}
