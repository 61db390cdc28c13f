//! Bulk prompts: prompts that take some time to prefill, of calls that give way to more urgent
//! streams of the same service.

use damaskstile_core::prelude::*;

use super::TargetTable;
use super::bulk_reports::SERVICES_MAX;
use super::bulk_state::LOAD_MIN_MS;
use super::bulk_targets::{BulkRange, BulkTargets, targets_for};
use super::cost::{own_part_prefill_ms, prefill_time, tokens};
use super::index::ServiceIndex;
use super::reserved_targets::LISTED_MAX;
use crate::bulk_rate::BulkRate;
use crate::bulk_update::BulkUpdate;
use crate::prefill_speed::PrefillSpeed;
use crate::work::Work;

/// At most one in this many targets takes bulk prompts.
const DIVISOR: usize = 2;
/// The same where no other instance has reported its load. The estimate, the own load times the
/// number of instances, is then far too high at an instance with many callers.
const DIVISOR_WITHOUT_REPORTS: usize = 3;
/// Bulk prompts of all instances that may be on their way to a bulk target or prefilled there. With
/// one, targets that are busy for 0.6 of their time need more places than there are, since a place
/// is also held while a prompt waits at its target. Two of 90 ms stall streams for half of the
/// 400 ms that routes allow.
const PROMPTS_PER_TARGET: f64 = 2.0;
/// Divisor of the number of bulk targets that yields the least limit of an instance. The callers of
/// an account move between instances within seconds, faster than load reports; an instance that
/// they have just reached would queue their prompts although the targets have room.
const SHARE_DIVISOR: usize = 2;
/// Least limit of the bulk prompts of one instance that are prefilled at the same time: one that is
/// prefilled, and one on its way to a target.
const LIMIT_MIN: usize = 2;
/// Failure share from which on a target is replaced. One that did not answer once exceeds it for a
/// second, in which a crash is reported.
const FAILURES_MAX: f64 = 0.5;

impl TargetTable {
    /// Tells whether a prompt is a bulk prompt.
    pub(super) fn is_bulk(&self, speed: &PrefillSpeed, work: &Work) -> bool {
        work.is_bulk
            && self.options.bulk_ms > 0.0
            && own_part_prefill_ms(speed, work) >= self.options.bulk_ms
    }

    /// Returns the prefill time of a call's own part of the prompt if it is a bulk prompt.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::{TargetTable, TargetTableOptions, Work};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// let work = |is_bulk| Work { prompt_tokens: 5_000, is_bulk, ..Work::default() };
    /// assert_eq!(table.bulk_prefill("s", &work(false)), None);
    /// assert_eq!(table.bulk_prefill("s", &work(true)), Some(Duration::from_millis(100)));
    /// ```
    #[must_use]
    pub fn bulk_prefill(&self, service: &str, work: &Work) -> Option<Duration> {
        if !work.is_bulk {
            return None;
        }
        let speed = self.speed(service);
        let is_bulk = self.is_bulk(&speed, work);
        is_bulk.then(|| prefill_time(own_part_prefill_ms(&speed, work)))
    }

    /// Records that a bulk prompt arrived at this instance, whether or not it is sent at once. If
    /// only what is sent counted, a limit on it would keep the number of targets low.
    pub fn note_bulk(&mut self, now: Duration, service: &str, prefill: Duration) {
        let load = self.bulk.loads.entry(service.to_owned()).or_default();
        load.add(now, prefill.as_secs_f64() * 1_000.0);
    }

    /// Returns the load of bulk prompts at this instance to report to peers: of the services with
    /// the largest.
    #[must_use]
    pub fn bulk_loads_to_report(&self, now: Duration) -> Vec<(ServiceId, BulkRate)> {
        let loads = self.bulk.loads.iter();
        let rates = loads.map(|(service, load)| (service.clone(), load.rate(now)));
        let is_load = |(_, rate): &(ServiceId, BulkRate)| rate.larger_ms() >= LOAD_MIN_MS;
        let mut rates: Vec<(ServiceId, BulkRate)> = rates.filter(is_load).collect();
        rates.sort_by(|(_, one), (_, other)| other.larger_ms().total_cmp(&one.larger_ms()));
        rates.truncate(SERVICES_MAX);
        rates
    }

    /// Applies another instance's report of its load of bulk prompts.
    pub fn apply_bulk_loads(&mut self, now: Duration, from: &str, loads: &[(ServiceId, BulkRate)]) {
        self.bulk.reports.record(now, from, loads);
    }

    /// Returns the number of targets that take a service's bulk prompts.
    ///
    /// ```
    /// use damaskstile_targets::{TargetTable, TargetTableOptions};
    /// let table = TargetTable::new("north", TargetTableOptions::default());
    /// assert_eq!(table.bulk_targets("s"), 0);
    /// ```
    #[must_use]
    pub fn bulk_targets(&self, service: &str) -> usize {
        let targets = self.bulk.targets.get(service);
        targets.map_or(0, |targets| targets.count)
    }

    /// Returns how many bulk prompts of this instance may be prefilled at the same time; `None` if
    /// no target is set apart for them, so that none has to wait.
    #[must_use]
    pub fn bulk_limit(&self, service: &str) -> Option<usize> {
        let targets = self.bulk.targets.get(service);
        targets.map(|targets| targets.limit)
    }

    /// Decides which targets take bulk prompts, and how many of this instance's are prefilled at
    /// the same time. Called several times a second, so that a selection costs no more for it.
    pub fn update_bulk_targets(&mut self, now: Duration) -> BulkUpdate {
        self.bulk.reports.expire(now);
        let mut update = BulkUpdate::default();
        for service in self.bulk.services() {
            let own = self.bulk.own_rate(now, &service);
            update.has_risen |= self.bulk.take_rise(&service, own);
            if own.larger_ms() < LOAD_MIN_MS {
                self.bulk.forget(&service);
            }
            let before = self.bulk_targets(&service);
            let targets = self.decide_bulk_targets(now, &service, own, before);
            let count = targets.map_or(0, |targets| targets.count);
            match targets {
                Some(targets) => self.bulk.targets.insert(service.clone(), targets),
                None => self.bulk.targets.remove(&service),
            };
            if count != before {
                update.changes.push((service, before, count));
            }
        }
        update
    }

    fn decide_bulk_targets(
        &self,
        now: Duration,
        service: &str,
        own: BulkRate,
        before: usize,
    ) -> Option<BulkTargets> {
        let index = self.indexes.get(service)?;
        let reports = &self.bulk.reports;
        let fleet_ms = reports.fleet_ms_per_s(service, own, self.instances);
        let divisor = if reports.is_empty() && self.instances > 1 {
            DIVISOR_WITHOUT_REPORTS
        } else {
            DIVISOR
        };
        let wanted = targets_for(fleet_ms, before).min(index.len() / divisor);
        let (count, from_key) = if wanted > LISTED_MAX {
            (wanted, index.key_of_last(wanted))
        } else {
            self.first_in_use(now, index, wanted, divisor)?
        };
        let own_ms = own.larger_ms();
        let share = (own_ms / fleet_ms.max(own_ms).max(LOAD_MIN_MS)).min(1.0);
        let places = tokens(u64::try_from(count).unwrap_or(u64::MAX)) * PROMPTS_PER_TARGET;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // a few prompts
        let limit = (share * places).round() as usize;
        Some(BulkTargets {
            count,
            from_key,
            limit: limit.max(count / SHARE_DIVISOR).max(LIMIT_MIN),
        })
    }

    /// Returns how many of the first targets that are in use take bulk prompts, and the key of the
    /// last one; `None` if too few are in use for any. A target that leaves is thereby replaced by
    /// the next one.
    fn first_in_use(
        &self,
        now: Duration,
        index: &ServiceIndex,
        wanted: usize,
        divisor: usize,
    ) -> Option<(usize, u64)> {
        let keys = index.in_bulk_order();
        let keys = keys.filter(|(_, target)| {
            let state = self.targets.get(*target);
            // Backoffs differ between instances, so they must not move the border.
            state.is_some_and(|state| {
                self.is_in_use(now, state) && state.failure_share(now) < FAILURES_MAX
            })
        });
        let keys: Vec<u64> = keys.map(|(key, _)| key).take(wanted * divisor).collect();
        let count = keys.len() / divisor;
        let last = count.checked_sub(1)?;
        Some((count, keys[last]))
    }

    /// Returns the range of a service's bulk targets; `None` if none is set apart.
    pub(super) fn bulk_range<'a>(
        &self,
        index: &'a ServiceIndex,
        service: &str,
    ) -> Option<BulkRange<'a>> {
        let from_key = self.bulk.targets.get(service)?.from_key;
        Some(BulkRange { index, from_key })
    }
}
