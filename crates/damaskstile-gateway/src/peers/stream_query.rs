//! Queries to peers for where a stream began.

use damaskstile_requests::StreamKey;

/// `StreamQuery` asks where a stream began.
#[derive(prost::Message, Clone, PartialEq)]
pub struct StreamQuery {
    /// Number of the search at the sender.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Key of the stream; `None` if the caller does not name it.
    #[prost(fixed64, optional, tag = "2")]
    pub key: Option<StreamKey>,
    /// Service that the caller asks for.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Time within which the stream began, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub span_ms: u64,
}
