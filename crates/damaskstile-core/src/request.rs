//! Requests of callers, as the host passes them to the instance.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RequestHandle, RequestKey, ServiceId};

/// `Priority` orders requests that wait for the same targets. The smallest is served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Short status checks that a person waits for.
    Urgent,
    /// Interactive questions.
    #[default]
    Normal,
    /// Long drafts.
    Bulk,
}

/// `NewRequest` is a caller's request after validation of its format. The host keeps the body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NewRequest {
    /// Handle of the call, assigned by the host.
    pub request: RequestHandle,
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Key given by the caller; one is generated if it is absent.
    pub key: Option<RequestKey>,
    /// Service that is addressed.
    pub service: ServiceId,
    /// Hash of the body, which distinguishes a repeated request from a key reused for another one.
    pub body_hash: u64,
    /// Size of the prompt in bytes; 0 for plain services.
    pub prompt_bytes: u64,
    /// Maximum size of the output that the caller requested, in tokens.
    pub max_output_tokens: Option<u64>,
    /// Whether the caller marked the request as non-idempotent. The mark cannot make a request of a
    /// non-idempotent service idempotent.
    pub non_idempotent: bool,
    /// Whether chunks are relayed as they arrive, instead of once the answer is complete.
    pub is_streamed: bool,
    /// Priority that the caller requested.
    pub priority: Option<Priority>,
    /// Time limit set by the caller, counted from the arrival of the request.
    pub time_limit: Option<Duration>,
}
