//! Description of a request that a simulated caller makes.

use damaskstile::core::prelude::*;

use crate::options::OFFICE_TOKEN;

/// A request that a simulated caller makes.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// Service that is called.
    pub service: ServiceId,
    /// Request key; generated if empty.
    pub key: RequestKey,
    /// Size of the prompt in tokens; its size in bytes is set to the same number.
    pub prompt_tokens: u64,
    /// Output cap in tokens; 0 for a request without a cap.
    pub cap_tokens: u64,
    /// Output tokens that the target will generate.
    pub output_tokens: u64,
    /// Whether the caller marks the request as non-idempotent.
    pub non_idempotent: bool,
    /// Whether chunks are relayed to the caller as they arrive.
    pub is_streamed: bool,
    /// Priority that the caller asks for.
    pub priority: Option<Priority>,
    /// SHA-256 of the client account's access token, in hexadecimal.
    pub token_sha256: String,
}

impl RequestSpec {
    /// Creates a request of the account `office` to the model service `chat`.
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

    /// Creates a call of the plain service `publish`, which must never run twice.
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
