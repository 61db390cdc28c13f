//! Parses and builds JSON bodies of the chat-completions API.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

/// Allowance for the tokens that the chat template adds, in bytes, for each field of a message.
const MESSAGE_EXTRA_BYTES: u64 = 8;

/// The parts of a caller's body that the router needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatRequest {
    /// Name of the model, which is the service to call.
    pub model: String,
    /// Size of all message fields, in bytes, with an allowance for the chat template.
    pub prompt_bytes: u64,
    /// Output limit set by the caller, in tokens.
    pub max_output_tokens: Option<u64>,
    /// Whether the caller asks for a streamed response.
    pub is_streamed: bool,
    /// Whether the caller asks for a usage chunk at the end of the stream.
    pub wants_usage: bool,
}

#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    messages: Vec<Map<String, Value>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Token usage, serialised as the chat-completions API has it.
#[allow(
    clippy::struct_field_names,
    reason = "the names are those of the chat-completions API"
)]
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

impl Usage {
    /// Computes the total of both counts.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens + completion_tokens,
        }
    }
}

/// Parses a caller's body.
///
/// # Errors
///
/// Returns a message for the caller if the body is not valid or has no messages.
pub fn read(body: &Bytes) -> Result<ChatRequest, String> {
    let parsed: Body = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if parsed.messages.is_empty() {
        return Err("`messages` is empty".to_owned());
    }
    let prompt_bytes = parsed
        .messages
        .iter()
        .flat_map(Map::values)
        .map(|value| text_bytes(value).saturating_add(MESSAGE_EXTRA_BYTES))
        .sum();
    let options = parsed.stream_options.unwrap_or_default();
    Ok(ChatRequest {
        model: parsed.model,
        prompt_bytes,
        max_output_tokens: parsed.max_completion_tokens.or(parsed.max_tokens),
        is_streamed: parsed.stream,
        wants_usage: options.include_usage,
    })
}

fn text_bytes(value: &Value) -> u64 {
    let len = match value {
        Value::String(text) => text.len(),
        other => other.to_string().len(),
    };
    u64::try_from(len).unwrap_or(u64::MAX)
}

/// Builds the body for the target: always streamed, with the output cap and a usage chunk.
pub fn target_body(body: &Bytes, cap_tokens: u64) -> serde_json::Result<Vec<u8>> {
    let mut parsed: Map<String, Value> = serde_json::from_slice(body)?;
    parsed.remove("max_completion_tokens");
    parsed.insert("max_tokens".to_owned(), json!(cap_tokens));
    parsed.insert("stream".to_owned(), json!(true));
    parsed.insert("stream_options".to_owned(), json!({"include_usage": true}));
    serde_json::to_vec(&parsed)
}

/// Assembles the chunks of a stream into a single `chat.completion` object.
pub fn assemble(key: &str, model: &str, chunks: &[String], usage: Usage) -> Value {
    let mut content = String::new();
    let mut finish_reason = "stop".to_owned();
    for data in chunks {
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        let choice = &chunk["choices"][0];
        if let Some(text) = choice["delta"]["content"].as_str() {
            content.push_str(text);
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            reason.clone_into(&mut finish_reason);
        }
    }
    json!({
        "id": key,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": finish_reason,
        }],
        "usage": usage,
    })
}

/// Builds the usage chunk that ends a stream.
pub fn usage_chunk(key: &str, model: &str, usage: Usage) -> Value {
    json!({
        "id": key,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [],
        "usage": usage,
    })
}
