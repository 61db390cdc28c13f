//! Versions of software that the targets of a service have, and had lately.

use damaskstile_core::prelude::*;

/// Former versions that are remembered. Those that were gone first are forgotten first.
const FORMER_MAX: usize = 64;

/// Versions of software that the targets of a service have, and had lately.
#[derive(Debug, Clone, Default)]
pub struct ServiceVersions {
    /// Number of listed targets of each version.
    listed: BTreeMap<SoftwareVersion, usize>,
    /// When the last target of a former version was delisted.
    gone_at: BTreeMap<SoftwareVersion, Duration>,
}

impl ServiceVersions {
    /// Records that a target of a version was listed.
    pub(crate) fn list(&mut self, version: &str) {
        *self.listed.entry(version.to_owned()).or_default() += 1;
        self.gone_at.remove(version);
    }

    /// Records that a target of a version is no longer listed.
    pub(crate) fn unlist(&mut self, now: Duration, version: &str) {
        let Some(count) = self.listed.get_mut(version) else {
            return;
        };
        *count -= 1;
        if *count > 0 {
            return;
        }
        self.listed.remove(version);
        self.gone_at.insert(version.to_owned(), now);
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
