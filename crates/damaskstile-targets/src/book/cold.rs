//! `cold` keeps what cold targets get within what they bear.

use damaskstile_core::prelude::*;

use super::Book;
use crate::cold_limit::ColdLimit;
use crate::known::Known;

/// Time after a start in which an instance sends nothing to cold targets: what its predecessor sent
/// within the same second counts too, and it knows few of the others yet.
const OWN_START: Duration = Duration::from_millis(1_100);
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

    /// Tells whether a call may go to a target now: it is warm, or this instance may send to it
    /// and has not sent all that it may.
    pub(super) fn has_place(&self, now: Duration, known: &Known) -> bool {
        // Most targets are warm; each choice looks at all of them.
        if !known.is_cold(now) {
            return true;
        }
        let Some(limit) = self.limit_of(known) else {
            return true;
        };
        let calls = limit.calls_of_sender(self.fleet.instances());
        self.is_past_start(now)
            && self.is_cold_sender(known, limit)
            && known.has_cold_place(now, calls)
    }

    /// Takes the place of a call that is sent to an incarnation now; returns false where it may not
    /// be sent: what came since it was chosen shows that the target leaves, is gone, wants a pause,
    /// has been followed by another, or is cold and has all that it bears.
    pub fn claim_send(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        if !self.may_send(now, identity) {
            return false;
        }
        if let Some(known) = self.targets.get_mut(&identity.target)
            && known.is_cold(now)
        {
            known.note_cold_send(now);
        }
        true
    }

    /// Tells whether a target is cold and bears only so many calls.
    pub(super) fn is_paced(&self, now: Duration, known: &Known) -> bool {
        known.is_cold(now) && self.limit_of(known).is_some()
    }

    fn is_past_start(&self, now: Duration) -> bool {
        self.started_at
            .is_none_or(|started_at| now.saturating_sub(started_at) >= OWN_START)
    }

    fn limit_of(&self, known: &Known) -> Option<&ColdLimit> {
        let limit = self.cold_limits.get(&known.listed.service);
        limit.filter(|limit| limit.calls_per_s.is_some())
    }

    /// Tells whether this instance is one of the few that may send to a target while it is cold. It is
    /// found out where a call might go there, and again once the view of the fleet has changed.
    fn is_cold_sender(&self, known: &Known, limit: &ColdLimit) -> bool {
        if let Some((fleet_state, is_sender)) = known.cold_sender.get()
            && fleet_state == self.fleet_state
        {
            return is_sender;
        }
        let senders = limit.senders(self.fleet.instances());
        let target = known.listed.target.as_str();
        let is_sender = self.fleet.is_among(&["cold", target], senders);
        known.cold_sender.set(Some((self.fleet_state, is_sender)));
        is_sender
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
