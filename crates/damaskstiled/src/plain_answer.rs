//! Encoding of a plain service's response as one chunk of an answer.

use serde::{Deserialize, Serialize};

/// The complete response of a plain service, passed through the instance as one chunk.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Body, in hexadecimal.
    pub body_hex: String,
}
