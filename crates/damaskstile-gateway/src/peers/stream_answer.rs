//! Answers to queries for where a stream began.

use damaskstile_requests::{OriginAnswer, StreamOrigin};

/// `StreamAnswer` is the answer to a query for where a stream began.
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
