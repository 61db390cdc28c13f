//! Restricts selection by location: evacuated data centres, and the regions that may run a call.

use damaskstile_core::prelude::*;

use super::TargetTable;
use crate::evacuations::{EvacuationChanges, Evacuations};
use crate::target_state::TargetState;
use crate::work::Work;

impl TargetTable {
    /// Applies the full set of evacuated data centres as of a store version; returns what changed.
    pub fn apply_evacuations(
        &mut self,
        now: Duration,
        version: Version,
        all: &BTreeSet<DataCentreId>,
    ) -> EvacuationChanges {
        let changes = self.evacuations.apply_all(now, version, all);
        self.note_evacuations(now, changes)
    }

    /// Applies evacuations and their ends up to a store version; returns what changed.
    pub fn apply_evacuation_changes(
        &mut self,
        now: Duration,
        version: Version,
        changes: &[(DataCentreId, bool)],
    ) -> EvacuationChanges {
        let changes = self.evacuations.apply_changes(now, version, changes);
        self.note_evacuations(now, changes)
    }

    fn note_evacuations(
        &mut self,
        now: Duration,
        changes: Option<EvacuationChanges>,
    ) -> EvacuationChanges {
        let changes = changes.unwrap_or_default();
        for data_centre in &changes.taken_back {
            self.treat_data_centre_as_cold(now, data_centre);
        }
        changes
    }

    /// Returns the evacuated data centres.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Tells whether a target's data centre may receive work. If data centres can be evacuated,
    /// none may until it is known which ones are.
    pub(super) fn is_data_centre_open(&self, state: &TargetState) -> bool {
        let is_known = !self.options.empties_data_centres || self.evacuations.version().is_some();
        is_known && !self.evacuations.covers(&state.listed.data_centre)
    }

    /// Tells whether a target is in a region that may run a call.
    pub(super) fn is_in_home_region(&self, state: &TargetState, work: &Work) -> bool {
        let Some(home_regions) = &work.home_regions else {
            return true;
        };
        let region = self.options.regions.get(&state.listed.data_centre);
        region.is_some_and(|region| home_regions.contains(region))
    }

    /// Tells whether a target other than those already tried may receive a call now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions, Work};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert!(!table.has_other_target(Duration::ZERO, "s", &Work::default(), &[]));
    /// ```
    #[must_use]
    pub fn has_other_target(
        &self,
        now: Duration,
        service: &str,
        work: &Work,
        tried: &[TargetId],
    ) -> bool {
        let mut usable = self.usable(now, service);
        usable.any(|state| self.may_get(now, state, work, tried))
    }

    /// Checks that some target may receive a call now.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalCode::NoTargetInRegion`] if usable targets are in regions that may not run
    /// the call, [`RefusalCode::NoTargetOfVersion`] if none of them runs the version of software
    /// that the call is bound to, and [`RefusalCode::NoTargetOfWeights`] if the list shows that no
    /// target has the weights that the call expects. Otherwise returns [`RefusalCode::NoTarget`]:
    /// no target of the service is usable, or all that are usable have reached their call limits.
    pub fn has_target(&self, now: Duration, service: &str, work: &Work) -> Result<(), RefusalCode> {
        if !self.may_meet_weights(service, work) {
            return Err(RefusalCode::NoTargetOfWeights);
        }
        let mut reason = RefusalCode::NoTarget;
        for state in self.usable(now, service) {
            if !self.is_in_home_region(state, work) {
                reason = RefusalCode::NoTargetInRegion;
            } else if !Self::is_of_version(state, work) {
                if !self.has_version(service, work) {
                    reason = RefusalCode::NoTargetOfVersion;
                }
            } else if Self::may_have_weights(state, work)
                && self.has_room(now, state)
                && self.has_brittle_room(now, state)
            {
                return Ok(());
            }
        }
        Err(reason)
    }
}
