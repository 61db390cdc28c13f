//! Versions of the targets' software and weights. What two versions of software write into one
//! stream does not fit together, so a stream goes on only at targets of the version that began it.
//! Calls that expect weights go only to targets that are not known to have others.

use damaskstile_core::prelude::*;

use super::TargetTable;
use crate::target_state::TargetState;
use crate::work::Work;

impl TargetTable {
    /// Returns the versions of software that targets of a service have now or had within the last
    /// `span`, as far as this instance knows.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert!(table.versions_within(Duration::ZERO, "s", Duration::ZERO).is_empty());
    /// ```
    #[must_use]
    pub fn versions_within(
        &self,
        now: Duration,
        service: &str,
        span: Duration,
    ) -> BTreeSet<SoftwareVersion> {
        let versions = self.versions.get(service).into_iter();
        let versions = versions.flat_map(|versions| versions.within(now, span));
        versions.cloned().collect()
    }

    /// Tells whether a target of a service is listed that has another version of software.
    #[must_use]
    pub fn has_other_version(&self, service: &str, version: &str) -> bool {
        let versions = self.versions.get(service);
        versions.is_some_and(|versions| versions.has_other(version))
    }

    /// Tells whether this instance knows all versions of the last `span`, since it has followed the
    /// list for so long.
    #[must_use]
    pub fn knows_versions_within(&self, now: Duration, span: Duration) -> bool {
        self.listed_since
            .is_some_and(|since| self.has_no_earlier_versions || now.saturating_sub(since) >= span)
    }

    /// Takes the first list for all that there was, as at the first start of a fleet.
    pub fn assume_no_earlier_versions(&mut self) {
        self.has_no_earlier_versions = true;
    }

    /// Tells whether a target of the version that a call is bound to is listed.
    #[must_use]
    pub fn has_version(&self, service: &str, work: &Work) -> bool {
        let Some(version) = &work.software_version else {
            return true;
        };
        let versions = self.versions.get(service);
        versions.is_some_and(|versions| versions.has(version))
    }

    /// Tells whether a listed target may have the weights that a call's caller expects.
    pub(super) fn may_meet_weights(&self, service: &str, work: &Work) -> bool {
        let Some(expected) = &work.weights else {
            return true;
        };
        let versions = self.versions.get(service);
        versions.is_none_or(|versions| versions.may_meet(expected))
    }

    /// Tells whether a target may have the weights that a call's caller expects.
    pub(super) fn may_have_weights(state: &TargetState, work: &Work) -> bool {
        let expected = work.weights.as_ref();
        expected.is_none_or(|expected| expected.may_be_met(&state.listed.weights))
    }

    /// Tells whether a target runs the version of software that a call is bound to. One that ended
    /// may be back under its name at another version, before its new entry arrives.
    pub(super) fn is_of_version(state: &TargetState, work: &Work) -> bool {
        let Some(version) = &work.software_version else {
            return true;
        };
        state.listed.software_version == *version
            && !(state.has_ended && state.listed.incarnation.is_some())
    }
}
