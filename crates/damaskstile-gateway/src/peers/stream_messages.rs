//! Messages on the versions of software that began streams.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_requests::{OriginAnswer, StreamKey, StreamOrigin};

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

/// `StreamAnswer` is the answer to a [`StreamQuery`].
#[derive(prost::Message, Clone, PartialEq)]
pub struct StreamAnswer {
    /// Number of the search at the asking instance.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Service at which the stream began, if the sender has a record of it.
    #[prost(string, optional, tag = "2")]
    pub service: Option<String>,
    /// Version of software that began it.
    #[prost(string, tag = "3")]
    pub version: String,
    /// Versions that targets of the service have, or had within the span of the query.
    #[prost(string, repeated, tag = "4")]
    pub versions: Vec<String>,
    /// Whether the sender has followed the list for the whole span.
    #[prost(bool, tag = "5")]
    pub is_whole: bool,
}

impl StreamAnswer {
    pub(super) fn new(number: u64, known: OriginAnswer) -> Self {
        let (service, version) = match known.origin {
            Some(origin) => (Some(origin.service), origin.version),
            None => (None, String::new()),
        };
        Self {
            number,
            service,
            version,
            versions: known.versions.into_iter().collect(),
            is_whole: known.is_whole,
        }
    }

    pub(super) fn into_known(self) -> OriginAnswer {
        let version = self.version;
        OriginAnswer {
            origin: self
                .service
                .map(|service| StreamOrigin { service, version }),
            versions: self.versions.into_iter().collect(),
            is_whole: self.is_whole,
        }
    }
}
