//! HTTP/1 clients for targets and for the platform, built on `hyper`.

pub mod answers;
pub mod client;
pub mod errors;
pub mod kept;
pub mod platform;
pub mod socket;
pub mod sse;

pub use answers::AnswerReader;
pub use client::{Call, Reply, send, send_whole};
pub use errors::{Error, Result};
pub use kept::KeptClient;
pub use platform::Platform;
pub use sse::SseLines;
