//! Decides which runs get a copy at a second target.

mod lost_runs;

use damaskstile_core::prelude::*;

pub use lost_runs::LostRuns;

use crate::copy_options::CopyOptions;
use crate::copy_reason::CopyReason;

/// Share of the fleet's runs cut by crashes above which urgent streams get copies: one in 200.
const LOST_SHARE_MAX: f64 = 0.005;
/// Expected events from which a run gets a copy. Shorter runs end before a copy is useful.
const EVENTS_MIN: u64 = 20;
/// Age from which a peer's report is dropped: three times the time constant of its counts, which
/// have lost 95 % of their weight by then.
const REPORT_AGE_MAX: Duration = Duration::from_mins(1);
/// Weight of own runs below which a service is forgotten.
const NEGLIGIBLE_RUNS: f64 = 0.01;
/// Services in one report. Few services of a fleet have engines that allow copies.
const SERVICES_MAX: usize = 8;

/// `RunCopies` decides which runs get a copy at a second target, from the runs that crashes cut at
/// this instance and at its peers.
#[derive(Debug, Default)]
pub struct RunCopies {
    options: CopyOptions,
    own: BTreeMap<ServiceId, LostRuns>,
    /// Last report of each peer, with the time of its arrival.
    reported: BTreeMap<InstanceId, (Duration, BTreeMap<ServiceId, LostRuns>)>,
}

impl RunCopies {
    /// Makes the state of an instance that knows of no run yet.
    #[must_use]
    pub fn new(options: CopyOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Counts a run that begins.
    pub fn note_begun(&mut self, now: Duration, service: &str) {
        self.add(now, service, 0.0, 1.0);
    }

    /// Counts a run that a crashed target cut, whether or not it continues from a copy: if runs
    /// that continue did not count, copies would cease while targets still crash. Returns whether
    /// runs get copies from now on and did not before.
    pub fn note_lost(&mut self, now: Duration, service: &str) -> bool {
        let had_copies = self.is_losing(now, service);
        self.add(now, service, 1.0, 0.0);
        self.options.is_enabled && !had_copies && self.is_losing(now, service)
    }

    fn add(&mut self, now: Duration, service: &str, lost: f64, begun: f64) {
        // The service is almost always present, so its name is cloned only when it is first seen.
        if let Some(runs) = self.own.get_mut(service) {
            runs.add(now, lost, begun);
        } else {
            let runs = self.own.entry(service.to_owned()).or_default();
            runs.add(now, lost, begun);
        }
    }

    /// Returns why a run gets a copy; `None` if it gets none. The caller has checked that its
    /// service and route allow copies.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::copy_reason::CopyReason;
    /// use damaskstile_gateway::run_copies::RunCopies;
    /// let copies = RunCopies::default();
    /// assert_eq!(copies.reason(Duration::ZERO, "chat", 50, false), None);
    /// let reason = copies.reason(Duration::ZERO, "chat", 50, true);
    /// assert_eq!(reason, Some(CopyReason::SuspectTarget));
    /// ```
    #[must_use]
    pub fn reason(
        &self,
        now: Duration,
        service: &str,
        expected_events: u64,
        is_target_suspect: bool,
    ) -> Option<CopyReason> {
        if !self.options.is_enabled || expected_events < EVENTS_MIN {
            return None;
        }
        if is_target_suspect {
            return Some(CopyReason::SuspectTarget);
        }
        self.is_losing(now, service).then_some(CopyReason::LostRuns)
    }

    /// Returns the counts of this instance for its peers.
    pub fn report(&mut self, now: Duration) -> Vec<(ServiceId, LostRuns)> {
        self.own
            .retain(|_, runs| runs.counts(now).1 >= NEGLIGIBLE_RUNS);
        let runs = self.own.iter().take(SERVICES_MAX);
        runs.map(|(service, runs)| (service.clone(), *runs))
            .collect()
    }

    /// Replaces what a peer reported before.
    pub fn apply_report(
        &mut self,
        now: Duration,
        from: &str,
        runs: impl IntoIterator<Item = (ServiceId, LostRuns)>,
    ) {
        let runs: BTreeMap<ServiceId, LostRuns> = runs.into_iter().take(SERVICES_MAX).collect();
        self.reported
            .retain(|_, (at, _)| now.saturating_sub(*at) < REPORT_AGE_MAX);
        if runs.is_empty() {
            self.reported.remove(from);
        } else {
            self.reported.insert(from.to_owned(), (now, runs));
        }
    }

    /// Returns whether crashes cut more runs of a service in the fleet than are accepted without
    /// copies.
    fn is_losing(&self, now: Duration, service: &str) -> bool {
        let reported = self.reported.values();
        let reported = reported
            .filter(|(at, _)| now.saturating_sub(*at) < REPORT_AGE_MAX)
            .filter_map(|(_, runs)| runs.get(service));
        let all = reported.chain(self.own.get(service));
        let (lost, begun) = all.fold((0.0, 0.0), |(lost, begun), runs| {
            let (more_lost, more_begun) = runs.counts(now);
            (lost + more_lost, begun + more_begun)
        });
        lost > begun * LOST_SHARE_MAX
    }
}
