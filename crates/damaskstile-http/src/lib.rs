//! HTTP/1 clients for targets and for the platform, built on `hyper`.

pub mod answers;
pub mod client;
pub mod errors;
pub mod orderly_stream;
pub mod platform;
pub mod pooled;
pub mod request_target;
pub mod socket;
pub mod sse;
pub mod status;
pub mod unread_answer;

pub use answers::AnswerReader;
pub use client::{Call, Reply, send, send_and_collect};
pub use errors::{Error, Result};
pub use orderly_stream::{OrderlyStream, bound_unsent};
pub use platform::Platform;
pub use pooled::PooledClient;
pub use request_target::RequestTarget;
pub use sse::SseDecoder;
pub use status::is_final_status;
pub use unread_answer::UnreadAnswer;
