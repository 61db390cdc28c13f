//! `cold` keeps what cold targets get within what they bear.

use damaskstile_core::prelude::*;

use super::Book;
use crate::cold_limit::ColdLimit;

/// Time for which a target that has ended may be back without a word of it. Its entry lapses, or
/// shows a newer incarnation, within it.
const RETURN_UNSEEN: Duration = Duration::from_secs(4);

impl Book {
    /// Sets what cold targets of each service bear.
    pub fn set_cold_limits(&mut self, limits: BTreeMap<ServiceId, ColdLimit>) {
        if self.cold_limits != limits {
            self.cold_limits = limits;
            self.fleet_state += 1;
        }
    }

    /// Takes in that there is another instance, and how many it knows of.
    pub fn meet(&mut self, instance: &str, instances: u64) {
        let is_new = self.fleet.meet(instance);
        if self.fleet.hear_count(instances) || is_new {
            self.fleet_state += 1;
        }
    }

    /// Notes that nothing takes connections at a target. It may be back under the same name at any
    /// moment, cold, before any word of that is heard.
    pub fn note_ended(&mut self, now: Duration, identity: &TargetIdentity) {
        let Some(known) = self.targets.get_mut(&identity.target) else {
            return;
        };
        if known.listed.incarnation != identity.incarnation {
            return;
        }
        let cold_time = self.cold_limits.get(&known.listed.service);
        let cold_time = cold_time.map_or(Duration::ZERO, |limit| limit.cold_time);
        known.chill(now + RETURN_UNSEEN + cold_time);
    }

    /// Returns the time for which a target is taken to be cold.
    #[must_use]
    pub fn cold_for(&self, now: Duration, target: &str) -> Duration {
        let known = self.targets.get(target);
        known.map_or(Duration::ZERO, |known| known.cold_for(now))
    }

    /// Returns the number of targets that are cold.
    #[must_use]
    pub fn cold_targets(&self, now: Duration) -> usize {
        let known = self.targets.values();
        known.filter(|known| known.is_cold(now)).count()
    }

    /// Takes the targets of a data centre for cold: they may have become so while they got nothing.
    pub(super) fn chill_data_centre(&mut self, now: Duration, data_centre: &str) {
        for known in self.targets.values_mut() {
            if known.listed.data_centre != data_centre {
                continue;
            }
            if let Some(limit) = self.cold_limits.get(&known.listed.service) {
                known.chill(now + limit.cold_time);
            }
        }
    }
}
