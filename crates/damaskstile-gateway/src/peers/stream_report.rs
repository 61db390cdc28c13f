//! Reports to peers of streams that began at one version of software.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_requests::{StreamKey, StreamOrigin};

/// `StreamReport` names streams that began at one version of software.
#[derive(prost::Message, Clone, PartialEq)]
pub struct StreamReport {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Version of software.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Time for which the streams can be taken up, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub lifetime_ms: u64,
    /// Keys of the streams.
    #[prost(fixed64, repeated, tag = "4")]
    pub keys: Vec<StreamKey>,
}

impl StreamReport {
    pub(super) fn new(origin: StreamOrigin, lifetime: Duration, keys: Vec<StreamKey>) -> Self {
        Self {
            service: origin.service,
            version: origin.version,
            lifetime_ms: unix_ms(lifetime),
            keys,
        }
    }
}
