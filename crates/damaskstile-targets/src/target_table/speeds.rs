//! Learns how the targets of a service differ in speed, and exchanges it with peers.

use damaskstile_core::prelude::*;

use super::TargetTable;
use crate::choice::Choice;
use crate::reported_load::ReportedLoad;
use crate::service_speed::ServiceSpeed;
use crate::speed_change::SpeedChange;
use crate::speed_report::SpeedReport;
use crate::target_state::TargetState;

/// Speeds reported in one digest, at some 40 bytes each.
const SPEED_REPORTS_MAX: usize = 16;
/// Targets whose speed is known, from which on reports of peers on further ones are ignored. All
/// deviating targets are weighed for each call, and the reports of a large fleet would name all of
/// its targets.
const KNOWN_TARGETS_MAX: usize = 256;
/// Time between two passes over the targets whose speed is known.
const PASS_INTERVAL: Duration = Duration::from_millis(250);
/// Targets that are shown to operators, those that deviate most.
const SHOWN_MAX: usize = 64;

impl TargetTable {
    /// Returns what is known of a service's targets in common; `None` where speeds are not learned.
    pub(super) fn service_speed(&self, now: Duration, service: &str) -> Option<&ServiceSpeed> {
        let speed = self.service_speeds.get(service)?;
        (self.options.learns_target_speeds && speed.is_stated(now)).then_some(speed)
    }

    /// Records what a target stated about its machine and its slots.
    pub(super) fn record_machine(&mut self, now: Duration, choice: &Choice, load: ReportedLoad) {
        let Some(percent) = load.machine_percent else {
            return;
        };
        if !self.options.learns_target_speeds {
            return;
        }
        if let Some(state) = self.chosen(choice) {
            state.speed.record_machine(now, percent);
            state.speed.slots = load.slots.filter(|slots| *slots > 0);
            let service = state.listed.service.clone();
            let speed = self.service_speeds.entry(service).or_default();
            speed.record_stated(now);
        }
    }

    /// Learns from the time that a call took to its first token, in milliseconds, if the choice
    /// predicted it.
    pub(super) fn learn_speed(&mut self, now: Duration, choice: &Choice, took_ms: f64) {
        let usual_ms = choice.usual_ms.filter(|usual_ms| *usual_ms > 0.0);
        let Some(usual_ms) = usual_ms else {
            return;
        };
        if let Some(state) = self.chosen(choice) {
            state.speed.learn(now, took_ms / usual_ms);
            self.uneven.insert(choice.target.clone());
        }
    }

    /// Learns from the time that an answer of a plain service took.
    pub fn plain_answer(&mut self, now: Duration, choice: &Choice, took: Duration) {
        let Some(state) = self.targets.get(&choice.target) else {
            return;
        };
        let service = state.listed.service.clone();
        if self.service_speed(now, &service).is_none() {
            return;
        }
        self.learn_speed(now, choice, took.as_secs_f64() * 1_000.0);
        if let Some(speed) = self.service_speeds.get_mut(&service) {
            speed.record_answer(took);
        }
    }

    /// Learns from the time that a call took from the send to the end.
    pub fn record_duration(&mut self, choice: &Choice, took: Duration) {
        let state = self.targets.get(&choice.target);
        let service = state.map(|state| &state.listed.service);
        if let Some(speed) = service.and_then(|service| self.service_speeds.get_mut(service)) {
            speed.record_duration(took);
        }
    }

    /// Applies a peer's report on the speed of a target.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_targets::{SpeedReport, TargetTable, TargetTableOptions};
    /// let mut table = TargetTable::new("north", TargetTableOptions::default());
    /// let report = SpeedReport { factor: 2.0, samples: 20, at: Duration::ZERO };
    /// let unknown = TargetIdentity::new("unknown", None);
    /// table.apply_speed_report(Duration::ZERO, "peer", &unknown, report);
    /// assert!(table.speed_percents(Duration::ZERO).is_empty());
    /// ```
    pub fn apply_speed_report(
        &mut self,
        now: Duration,
        source: &str,
        identity: &TargetIdentity,
        report: SpeedReport,
    ) {
        let is_full = self.uneven.len() >= KNOWN_TARGETS_MAX;
        if !self.options.learns_target_speeds
            || (is_full && !self.uneven.contains(&identity.target))
        {
            return;
        }
        let state = self.targets.get_mut(&identity.target);
        let state = state.filter(|state| state.listed.incarnation == identity.incarnation);
        let Some(state) = state else {
            return;
        };
        state.speed.apply_report(now, source, report);
        if !state.speed.has_reports(now) {
            return;
        }
        if let Some(index) = self.indexes.get_mut(&state.listed.service) {
            index.mark(&identity.target);
        }
        self.uneven.insert(identity.target.clone());
    }

    /// Returns the speeds that this instance observed, for a peer that knows none: those that
    /// deviate most first.
    #[must_use]
    pub fn speeds_to_report(&self, now: Duration) -> Vec<(TargetIdentity, SpeedReport)> {
        self.reports_of(now, |_| true)
    }

    /// Returns the speeds that the next digest to peers carries, those that deviate most first, and
    /// records them as sent.
    pub fn take_speeds_to_report(&mut self, now: Duration) -> Vec<(TargetIdentity, SpeedReport)> {
        let reports = self.reports_of(now, |state| state.speed.is_report_due(now));
        for (identity, _) in &reports {
            if let Some(state) = self.targets.get_mut(&identity.target) {
                state.speed.note_reported(now);
            }
        }
        reports
    }

    fn reports_of(
        &self,
        now: Duration,
        is_wanted: impl Fn(&TargetState) -> bool,
    ) -> Vec<(TargetIdentity, SpeedReport)> {
        let to_report = |state: &TargetState| {
            let report = state.speed.report(now)?;
            Some((state.listed.identity(), report))
        };
        let states = self.uneven_states(now).filter(|state| is_wanted(state));
        let mut reports: Vec<_> = states.filter_map(to_report).collect();
        let deviation = |report: &SpeedReport| report.evidence();
        reports.sort_by(|(_, one), (_, other)| deviation(other).total_cmp(&deviation(one)));
        reports.truncate(SPEED_REPORTS_MAX);
        reports
    }

    /// Returns the lasting factors of deviating targets, in percent, slowest first.
    #[must_use]
    pub fn speed_percents(&self, now: Duration) -> Vec<(TargetId, u64)> {
        let states = self.uneven_states(now);
        let states = states.filter(|state| state.speed.deviates(now));
        let percents = states.map(|state| {
            let target = state.listed.target.clone();
            (target, percent(state.speed.factor(now)))
        });
        let mut percents: Vec<_> = percents.collect();
        percents.sort_by_key(|(_, percent)| std::cmp::Reverse(*percent));
        percents.truncate(SHOWN_MAX);
        percents
    }

    /// Returns the targets that became slow since the previous call, or no longer are, and forgets
    /// those of which nothing is known any more. Calls in quick succession return nothing.
    pub fn take_speed_changes(&mut self, now: Duration) -> Vec<SpeedChange> {
        if now.saturating_sub(self.speeds_passed_at) < PASS_INTERVAL {
            return Vec::new();
        }
        self.speeds_passed_at = now;
        let mut changes = Vec::new();
        let targets = &mut self.targets;
        self.uneven.retain(|target| {
            let Some(state) = targets.get_mut(target) else {
                return false;
            };
            if let Some(is_slow) = state.speed.update_slow(now) {
                changes.push(SpeedChange {
                    identity: state.listed.identity(),
                    factor_percent: percent(state.speed.own_factor()),
                    is_slow,
                });
            }
            state.speed.is_known(now)
        });
        changes
    }

    fn uneven_states(&self, now: Duration) -> impl Iterator<Item = &TargetState> {
        let states = self.uneven.iter();
        let states = states.filter_map(|target| self.targets.get(target));
        states.filter(move |state| self.service_speed(now, &state.listed.service).is_some())
    }
}

/// Returns a factor in percent.
pub(super) fn percent(factor: f64) -> u64 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // 25 to some thousands
    let percent = (factor * 100.0).round() as u64;
    percent
}
