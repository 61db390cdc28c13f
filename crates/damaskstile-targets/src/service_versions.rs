//! Versions of software and weights that the targets of a service have, and of software that they
//! had lately.

use damaskstile_core::prelude::*;

use crate::expected_weights::ExpectedWeights;
use crate::listed::Listed;

/// Former versions that are remembered. Those that were gone first are forgotten first.
const FORMER_MAX: usize = 64;

/// Versions of software and weights that the targets of a service have, and of software that they
/// had lately.
#[derive(Debug, Clone, Default)]
pub struct ServiceVersions {
    /// Number of listed targets of each version.
    listed: BTreeMap<SoftwareVersion, usize>,
    /// When the last target of a former version was delisted.
    gone_at: BTreeMap<SoftwareVersion, Duration>,
    /// Number of listed targets with the same weights.
    weights: BTreeMap<Vec<(ModelId, WeightsVersion)>, usize>,
}

impl ServiceVersions {
    /// Records that a target was listed.
    pub(crate) fn list(&mut self, listed: &Listed) {
        let version = &listed.software_version;
        *self.listed.entry(version.clone()).or_default() += 1;
        self.gone_at.remove(version);
        *self.weights.entry(listed.weights.clone()).or_default() += 1;
    }

    /// Records that a target is no longer listed.
    pub(crate) fn unlist(&mut self, now: Duration, listed: &Listed) {
        if let Some(count) = self.weights.get_mut(&listed.weights) {
            *count -= 1;
            if *count == 0 {
                self.weights.remove(&listed.weights);
            }
        }
        let version = &listed.software_version;
        let Some(count) = self.listed.get_mut(version) else {
            return;
        };
        *count -= 1;
        if *count > 0 {
            return;
        }
        self.listed.remove(version);
        self.gone_at.insert(version.clone(), now);
        if self.gone_at.len() > FORMER_MAX {
            let first = self.gone_at.iter().min_by_key(|(_, at)| **at);
            let first = first.map(|(version, _)| version.clone());
            self.gone_at.remove(&first.unwrap_or_default());
        }
    }

    /// Tells whether a target of a version is listed.
    pub(crate) fn has(&self, version: &str) -> bool {
        self.listed.contains_key(version)
    }

    /// Tells whether a target of another version is listed.
    pub(crate) fn has_other(&self, version: &str) -> bool {
        self.listed.keys().any(|listed| listed != version)
    }

    /// Tells whether a listed target may have the expected weights.
    pub(crate) fn may_meet(&self, expected: &ExpectedWeights) -> bool {
        let mut weights = self.weights.keys();
        weights.any(|weights| expected.may_be_met(weights))
    }

    /// Returns the versions that targets have now or had within the last `span`.
    pub(crate) fn within(
        &self,
        now: Duration,
        span: Duration,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let former = self.gone_at.iter();
        let former = former.filter(move |(_, at)| now.saturating_sub(**at) <= span);
        self.listed.keys().chain(former.map(|(version, _)| version))
    }
}
