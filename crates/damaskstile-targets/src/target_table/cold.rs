//! Call limits of cold targets, and which targets are cold.

use damaskstile_core::prelude::*;

use super::TargetTable;
use crate::cold_limit::ColdLimit;

/// Time for which a target that ended may have restarted without any report of it. Within this time
/// its entry expires or shows a newer incarnation.
const RETURN_UNSEEN: Duration = Duration::from_secs(4);

impl TargetTable {
    /// Sets the call limits of cold targets, by service.
    pub fn set_cold_limits(&mut self, limits: BTreeMap<ServiceId, ColdLimit>) {
        if self.cold_limits != limits {
            self.cold_limits = limits;
            self.fleet_state += 1;
        }
    }

    /// Records another instance, and the number of instances that it knows of.
    pub fn add_instance(&mut self, instance: &str, instances: u64) {
        let is_new = self.fleet.add_instance(instance);
        if self.fleet.record_count(instances) || is_new {
            self.fleet_state += 1;
        }
    }

    /// Records that a target accepts no connections. It may restart under the same name at any
    /// moment, cold, before any report of that arrives.
    pub fn note_ended(&mut self, now: Duration, identity: &TargetIdentity) {
        let Some(state) = self.targets.get_mut(&identity.target) else {
            return;
        };
        if state.listed.incarnation != identity.incarnation {
            return;
        }
        state.has_ended = true;
        let cold_time = self.cold_limits.get(&state.listed.service);
        let cold_time = cold_time.map_or(Duration::ZERO, |limit| limit.cold_time);
        state.extend_cold_time(now + RETURN_UNSEEN + cold_time);
    }

    /// Returns how much longer a target is treated as cold.
    #[must_use]
    pub fn cold_for(&self, now: Duration, target: &str) -> Duration {
        let state = self.targets.get(target);
        state.map_or(Duration::ZERO, |state| state.cold_for(now))
    }

    /// Returns the number of cold targets.
    #[must_use]
    pub fn cold_targets(&self, now: Duration) -> usize {
        let states = self.targets.values();
        states.filter(|state| state.is_cold(now)).count()
    }

    /// Treats the targets of a data centre as cold: they may have become so while they received
    /// nothing.
    pub(super) fn treat_data_centre_as_cold(&mut self, now: Duration, data_centre: &str) {
        for state in self.targets.values_mut() {
            if state.listed.data_centre != data_centre {
                continue;
            }
            if let Some(limit) = self.cold_limits.get(&state.listed.service) {
                state.extend_cold_time(now + limit.cold_time);
            }
        }
    }
}
