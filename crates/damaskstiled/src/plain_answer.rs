//! `plain_answer` holds the answer of a plain service as one piece.

use serde::{Deserialize, Serialize};

/// `PlainAnswer` is the whole answer of a plain service, as one piece.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Type of the content.
    pub content_type: String,
    /// Body, in hexadecimal.
    pub body_hex: String,
}
