//! `work` describes a request to make.

use damaskstile::core::prelude::*;

use crate::options::OFFICE_TOKEN;

/// `Work` describes a request to make.
#[derive(Debug, Clone)]
pub struct Work {
    /// Service.
    pub service: ServiceId,
    /// Key; one is made where it is empty.
    pub key: RequestKey,
    /// Size of the prompt, in bytes and in tokens.
    pub prompt_tokens: u64,
    /// Cap of the output.
    pub cap_tokens: u64,
    /// Tokens that the answer will have.
    pub output_tokens: u64,
    /// Caller's mark.
    pub non_idempotent: bool,
    /// Whether chunks are relayed as they come.
    pub is_streamed: bool,
    /// Priority.
    pub priority: Option<Priority>,
    /// Hash of the token of the client account.
    pub token_sha256: String,
}

impl Work {
    /// Makes a model request of the account `office`.
    #[must_use]
    pub fn chat(prompt_tokens: u64, cap_tokens: u64, output_tokens: u64) -> Self {
        Self {
            service: "chat".to_owned(),
            key: String::new(),
            prompt_tokens,
            cap_tokens,
            output_tokens,
            non_idempotent: false,
            is_streamed: true,
            priority: None,
            token_sha256: OFFICE_TOKEN.to_owned(),
        }
    }

    /// Makes a call of the plain service `publish`, which must never run twice.
    #[must_use]
    pub fn publish(key: &str) -> Self {
        Self {
            service: "publish".to_owned(),
            key: key.to_owned(),
            is_streamed: false,
            ..Self::chat(3, 0, 0)
        }
    }
}
