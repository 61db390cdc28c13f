//! Where a stream began.

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

/// Key of a stream: a hash of its client account and of the attempt that brought its first event.
pub type StreamKey = u64;

/// Where a stream began. It may go on only at targets of the same version of software.
///
/// ```
/// use damaskstile_requests::StreamOrigin;
/// let origin = StreamOrigin { service: "model".to_owned(), version: "v1".to_owned() };
/// assert_eq!(origin.clone(), origin);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamOrigin {
    /// Service.
    pub service: ServiceId,
    /// Version of software of the target that wrote the first event.
    pub version: SoftwareVersion,
}

impl StreamOrigin {
    /// Returns the key of a stream, by the id of the attempt that brought its first event. Ids are
    /// chosen by callers, so those of different client accounts are told apart.
    ///
    /// ```
    /// use damaskstile_requests::StreamOrigin;
    /// assert_ne!(StreamOrigin::key("one", "id"), StreamOrigin::key("another", "id"));
    /// ```
    #[must_use]
    pub fn key(account: &str, id: &str) -> StreamKey {
        stable_hash(&["stream", account, id])
    }
}
