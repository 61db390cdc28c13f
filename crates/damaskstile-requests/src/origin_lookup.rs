//! Search for the version of software that began a stream.

use damaskstile_core::prelude::*;

use crate::stream_origin::StreamOrigin;

/// Peers that must know of the same only version before the others are no longer waited for. An
/// instance that sees a second one reports its streams to all of them, so a single lost report
/// misleads none.
const CONFIRMATIONS: usize = 2;

/// What an instance knows of the version that began a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginAnswer {
    /// Where the stream began, if the instance has a record of it.
    pub origin: Option<StreamOrigin>,
    /// Versions that targets of the service have, or had while the stream may have begun.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether the instance knows all versions of that time, since it has followed the list for so
    /// long.
    pub is_whole: bool,
}

/// Search for the version that began a stream that a caller takes up: what the own instance knows,
/// and what peers answer.
///
/// A stream has no record while all instances see one version, since none is needed then: it can
/// only have begun at that one. Instances see a second version at different times and may have just
/// started, so one that knows no record takes no version for the only one by itself.
///
/// ```
/// use damaskstile_requests::{OriginAnswer, OriginLookup};
/// let known = OriginAnswer {
///     versions: ["v1".to_owned()].into(),
///     is_whole: true,
///     ..OriginAnswer::default()
/// };
/// let mut lookup = OriginLookup::new("model", known.clone(), 2);
/// assert_eq!(lookup.origin(true), None);
/// lookup.add_answer("peer", known);
/// assert_eq!(lookup.origin(true).unwrap().version, "v1");
/// ```
#[derive(Debug, Clone)]
pub struct OriginLookup {
    service: ServiceId,
    own: OriginAnswer,
    asked: usize,
    answers: BTreeMap<InstanceId, OriginAnswer>,
}

impl OriginLookup {
    /// Begins a search with what the own instance knows, when so many peers are asked.
    #[must_use]
    pub fn new(service: &str, own: OriginAnswer, asked: usize) -> Self {
        Self {
            service: service.to_owned(),
            own,
            asked,
            answers: BTreeMap::new(),
        }
    }

    /// Adds the answer of a peer.
    pub fn add_answer(&mut self, peer: &str, answer: OriginAnswer) {
        self.answers.insert(peer.to_owned(), answer);
    }

    /// Tells whether all asked peers have answered.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.answers.len() >= self.asked
    }

    /// Returns where the stream began; `None` if that is not known, or not yet. `is_final` tells
    /// that no more answers are waited for.
    #[must_use]
    pub fn origin(&self, is_final: bool) -> Option<StreamOrigin> {
        let all = || std::iter::once(&self.own).chain(self.answers.values());
        if let Some(origin) = all().find_map(|answer| answer.origin.as_ref()) {
            return Some(origin.clone());
        }
        let is_confirmed = if is_final || self.is_answered() {
            self.asked == 0 || !self.answers.is_empty()
        } else {
            self.answers.len() >= CONFIRMATIONS
        };
        let versions: BTreeSet<&SoftwareVersion> =
            all().flat_map(|answer| &answer.versions).collect();
        let mut versions = versions.into_iter();
        let only = versions.next().filter(|_| versions.next().is_none())?;
        let is_whole = all().any(|answer| answer.is_whole);
        (is_confirmed && is_whole).then(|| StreamOrigin {
            service: self.service.clone(),
            version: only.clone(),
        })
    }
}
