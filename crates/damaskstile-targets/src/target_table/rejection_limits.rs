//! Keeps the rejected calls of all instances together within the limits of brittle targets, which
//! fail if they have to reject more.

use damaskstile_core::prelude::*;

use super::TargetTable;
use super::index::ServiceIndex;
use crate::advertised_limit::AdvertisedLimit;
use crate::limit_report::LimitReport;
use crate::target_state::TargetState;

/// Time for which a rejection limit, or its end, is reported to peers.
const REPORT_SPAN: Duration = Duration::from_secs(15);
/// Time by which a peer's report must be newer to replace one with the same limit.
const EQUAL_REPORT_SLACK: Duration = Duration::from_millis(500);
/// Span in which rejections are counted: a second, and the lateness of timers.
const COUNTED_SPAN: Duration = Duration::from_millis(1_020);
/// Longest time without calls to a target that rejected one.
const PAUSE_MAX: Duration = Duration::from_secs(10);
/// Margin of the pause between tries at targets that may be full: tries hit targets at random, some
/// more than others.
const TRY_MARGIN: f64 = 3.0;
/// Longest pause between such tries.
const TRY_PAUSE_MAX: Duration = Duration::from_secs(20);
/// Share of a target's slots, and of its rejection limit, that is used.
const USED_SHARE: f64 = 0.8;
/// Targets up to which an instance checks whether it has a slot at any of them. With more it most
/// likely has.
const CHECKED_TARGETS_MAX: usize = 32;
/// Time after which a place at some target of a service is likely to be free.
const ROOM_WAIT: Duration = Duration::from_millis(100);

impl TargetTable {
    /// Applies what the answer to a call says of the rejection limit of its service's targets;
    /// returns the limit if it changed.
    ///
    /// All targets of a service state the same. A limit ends once a call that was sent after the
    /// limit was last stated is answered without one.
    pub fn apply_rejection_limit(
        &mut self,
        now: Duration,
        service: &str,
        sent_at: Duration,
        stated: AdvertisedLimit,
    ) -> Option<LimitReport> {
        let known = self.brittle.limits.get(service).copied();
        let report = match stated {
            AdvertisedLimit::CallsPerS(calls_per_s) => LimitReport {
                calls_per_s: Some(calls_per_s),
                at: now,
            },
            AdvertisedLimit::Absent if known.is_some_and(|known| sent_at > known.at) => {
                LimitReport {
                    calls_per_s: None,
                    at: sent_at,
                }
            }
            AdvertisedLimit::Absent | AdvertisedLimit::Unreadable => return None,
        };
        self.set_rejection_limit(service, report).then_some(report)
    }

    /// Applies a peer's report on the rejection limit of a service; returns whether it changed.
    pub fn apply_rejection_limit_report(&mut self, service: &str, report: LimitReport) -> bool {
        let is_newer = match self.brittle.limits.get(service) {
            Some(known) if report.is_like(known) => report.at > known.at + EQUAL_REPORT_SLACK,
            Some(known) => report.at > known.at,
            None => report.calls_per_s.is_some(),
        };
        is_newer && self.set_rejection_limit(service, report)
    }

    fn set_rejection_limit(&mut self, service: &str, report: LimitReport) -> bool {
        let before = self.brittle.limits.insert(service.to_owned(), report);
        match before {
            Some(before) => !before.is_like(&report),
            None => report.calls_per_s.is_some(),
        }
    }

    /// Returns the rejection limits to report to peers: those that were stated recently, and those
    /// that ended recently.
    #[must_use]
    pub fn rejection_limits_to_report(&self, now: Duration) -> Vec<(ServiceId, LimitReport)> {
        let limits = self.brittle.limits.iter();
        let recent = limits.filter(|(_, report)| now.saturating_sub(report.at) < REPORT_SPAN);
        recent
            .map(|(service, report)| (service.clone(), *report))
            .collect()
    }

    /// Drops the limits of services that no longer exist.
    pub fn retain_rejection_limits(&mut self, exists: impl Fn(&str) -> bool) {
        self.brittle.retain(exists);
    }

    /// Returns the number of services whose targets are brittle.
    #[must_use]
    pub fn brittle_services(&self) -> usize {
        let limits = self.brittle.limits.values();
        limits.filter(|limit| limit.calls_per_s.is_some()).count()
    }

    /// Records that a target rejected a call.
    pub fn rejected(&mut self, now: Duration, target: &TargetIdentity) {
        if let Some(state) = self.of_incarnation(&target.target, target.incarnation) {
            state.note_rejected(now, PAUSE_MAX);
            let service = state.listed.service.clone();
            self.brittle.rejected_at.insert(service, now);
        }
    }

    /// Tells whether a brittle target has room for another call of this instance. The instances
    /// divide four fifths of its slots, so that all together send no more calls than it runs at a
    /// time. An instance that has no slot there sends one call at a time while the target reports
    /// that half of them are free; without a report, only if it has no slot at any target of the
    /// service, and not for some time after a rejection by any of them. Rejections count for each
    /// instance as its share of the limit.
    pub(super) fn has_brittle_room(&self, now: Duration, state: &TargetState) -> bool {
        let Some(limit) = self.rejection_limit(&state.listed.service) else {
            return true;
        };
        let instances = self.fleet.instances().max(1);
        let (rejections_max, pause) = share_of_rejections(limit, instances);
        if state.rejections(now, pause) >= rejections_max {
            return false;
        }
        let slots = used(state.slots()).max(1);
        if instances <= slots {
            return state.own_running() < slots / instances;
        }
        state.own_running() == 0
            && (self.is_among_senders(state, slots, 0)
                || state
                    .is_reported_half_free(now)
                    .unwrap_or_else(|| self.may_try_unknown(now, &state.listed.service, limit)))
    }

    /// Tells whether this instance may send to a brittle target of which it has neither a slot nor
    /// a recent load report. The tries of all such instances that are rejected are shared among the
    /// targets of the service.
    fn may_try_unknown(&self, now: Duration, service: &str, limit: f64) -> bool {
        let rejected_at = self.brittle.rejected_at.get(service);
        let since = rejected_at.map(|at| now.saturating_sub(*at));
        since.is_none_or(|since| since >= self.pause_of_tries(service, limit))
            && !self.has_slot_at_any(service)
    }

    /// Returns the time without tries after a rejection, different at each instance so that they
    /// do not try again together.
    #[allow(clippy::cast_precision_loss)] // a few hundred instances, thousands of targets
    fn pause_of_tries(&self, service: &str, limit: f64) -> Duration {
        let targets = self.indexes.get(service).map_or(0, ServiceIndex::len);
        let of_service = limit.max(0.0) * USED_SHARE * targets as f64;
        let pause_s = TRY_MARGIN * self.fleet.instances() as f64 / of_service;
        let spread = 1.0 + self.own_seed as f64 / u64::MAX as f64;
        let pause = Duration::try_from_secs_f64(pause_s * spread).unwrap_or(TRY_PAUSE_MAX);
        pause.clamp(COUNTED_SPAN, TRY_PAUSE_MAX)
    }

    /// Tells whether this instance has a slot at any brittle target of a service. The result is
    /// kept until the fleet view or the number of targets changes.
    fn has_slot_at_any(&self, service: &str) -> bool {
        let Some(index) = self.indexes.get(service) else {
            return false;
        };
        let basis = (self.fleet_state, index.len());
        let known = self.brittle.slots_at_any.borrow().get(service).copied();
        if let Some((_, has_slot)) = known.filter(|(known_basis, _)| *known_basis == basis) {
            return has_slot;
        }
        let has_slot = index.len() > CHECKED_TARGETS_MAX
            || self.states_of(index.all()).any(|state| {
                let slots = used(state.slots()).max(1);
                self.is_among_senders(state, slots, 0)
            });
        let mut slots_at_any = self.brittle.slots_at_any.borrow_mut();
        slots_at_any.insert(service.to_owned(), (basis, has_slot));
        has_slot
    }

    /// Returns the expected time until a brittle target has room again; `None` if the targets of
    /// the service are not brittle.
    pub(super) fn time_until_brittle_room(&self, service: &str) -> Option<Duration> {
        self.rejection_limit(service).map(|_| ROOM_WAIT)
    }

    fn rejection_limit(&self, service: &str) -> Option<f64> {
        self.brittle.limits.get(service)?.calls_per_s
    }
}

/// Returns how many calls of one instance a target may reject within which time.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not negative
#[allow(clippy::cast_precision_loss)] // a few hundred instances
fn share_of_rejections(calls_per_s: f64, instances: u64) -> (usize, Duration) {
    let share = calls_per_s.max(0.0) * USED_SHARE / instances as f64;
    if share >= 1.0 {
        return (share as usize, COUNTED_SPAN);
    }
    let pause = Duration::try_from_secs_f64(COUNTED_SPAN.as_secs_f64() / share);
    (1, pause.map_or(PAUSE_MAX, |pause| pause.min(PAUSE_MAX)))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not negative
#[allow(clippy::cast_precision_loss)] // slots of one target
fn used(slots: u64) -> u64 {
    (slots as f64 * USED_SHARE) as u64
}
