//! Tracks the call limits that targets advertise.

use damaskstile_core::prelude::*;

use super::TargetTable;
use crate::advertised_limit::AdvertisedLimit;
use crate::limit_report::LimitReport;
use crate::target_state::TargetState;

/// Time for which an advertised limit, or its end, is reported to peers.
const LIMIT_REPORT_SPAN: Duration = Duration::from_secs(15);
/// Limits reported in one digest, at some 40 bytes each.
const LIMIT_REPORTS_MAX: usize = 16;
/// Time by which a peer's report must be newer to replace one with the same limit. The transmission
/// time is unknown, so relayed reports look newer than they are.
const EQUAL_REPORT_SLACK: Duration = Duration::from_millis(500);

impl TargetTable {
    /// Applies what the answer to a call says of its target's limit; returns the limit if it
    /// changed.
    ///
    /// A limit ends once a call that was sent after the limit was last advertised is answered
    /// without one. The answer to an earlier call may have been delayed.
    pub fn apply_advertised_limit(
        &mut self,
        now: Duration,
        identity: &TargetIdentity,
        sent_at: Duration,
        named: AdvertisedLimit,
    ) -> Option<LimitReport> {
        let state = self.of_incarnation(&identity.target, identity.incarnation)?;
        let report = match named {
            AdvertisedLimit::CallsPerS(calls_per_s) => LimitReport {
                calls_per_s: Some(calls_per_s),
                at: now,
            },
            AdvertisedLimit::Absent if state.limit.is_some_and(|limit| sent_at > limit.at) => {
                LimitReport {
                    calls_per_s: None,
                    at: sent_at,
                }
            }
            AdvertisedLimit::Absent | AdvertisedLimit::Unreadable => return None,
        };
        let is_new = state.apply_limit(now, report);
        self.limited.insert(identity.target.clone());
        is_new.then_some(report)
    }

    /// Applies a peer's report on a target's limit; returns whether the limit changed.
    pub fn apply_limit_report(
        &mut self,
        now: Duration,
        identity: &TargetIdentity,
        report: LimitReport,
    ) -> bool {
        let Some(state) = self.of_incarnation(&identity.target, identity.incarnation) else {
            return false;
        };
        let is_newer = match state.limit {
            Some(limit) if report.is_like(&limit) => report.at > limit.at + EQUAL_REPORT_SLACK,
            Some(limit) => report.at > limit.at,
            None => report.calls_per_s.is_some(),
        };
        if !is_newer {
            return false;
        }
        let is_new = state.apply_limit(now, report);
        self.limited.insert(identity.target.clone());
        is_new
    }

    /// Returns the limits to report to peers, newest first: those that were advertised recently,
    /// and those that ended recently.
    #[must_use]
    pub fn limits_to_report(&self, now: Duration) -> Vec<(TargetIdentity, LimitReport)> {
        let to_report = |state: &TargetState| {
            let report = state.limit?;
            let since = match report.calls_per_s {
                Some(_) => report.at,
                None => state.limit_since,
            };
            let is_recent = now.saturating_sub(since) < LIMIT_REPORT_SPAN;
            is_recent.then(|| (state.listed.identity(), report))
        };
        let limited = self.limited.iter();
        let limited = limited.filter_map(|target| self.targets.get(target));
        let mut reports: Vec<_> = limited.filter_map(to_report).collect();
        reports.sort_by_key(|(_, report)| std::cmp::Reverse(report.at));
        reports.truncate(LIMIT_REPORTS_MAX);
        reports
    }

    /// Returns the number of targets that advertise a limit.
    #[must_use]
    pub fn limited_targets(&self) -> usize {
        let states = self.limited.iter();
        let states = states.filter_map(|target| self.targets.get(target));
        let limits = states.filter_map(|state| state.limit?.calls_per_s);
        limits.count()
    }
}
