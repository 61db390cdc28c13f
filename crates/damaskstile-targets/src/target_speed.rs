//! How fast one incarnation of a target is, compared with the other targets of its service.

use damaskstile_core::prelude::*;

use crate::speed_report::{SAMPLES_MAX, SpeedReport, bounded_log, freshness};

/// Samples from which on a factor counts. A single late call may have waited for an unreported
/// prompt.
const SAMPLES_MIN: f64 = 3.0;
/// Samples from which on a factor is reported to peers.
const REPORTED_SAMPLES_MIN: f64 = 2.0;
/// Reports of different peers that are kept for one target, those with the most samples. Four reach
/// the samples that count at most.
const REPORTS_MAX: usize = 8;
/// Factor from which on a target costs more. The mean of 20 samples that vary by half deviates by as
/// much by chance.
const DEVIATION_MIN: f64 = 1.1;
/// Factor that a target's samples must show, or its reciprocal, for a report to peers: a deviation
/// counts less the fewer samples show it. Digests cross links between data centres that are slow
/// and paid by the byte, and reports of deviations by chance would fill them.
const REPORTED_DEVIATION_MIN: f64 = 1.25;
/// Ratio of a factor to the one last reported from which on it is reported again at once, and the
/// time after which it is reported again in any case. A digest reaches only ten peers. In the model
/// of `tests/uneven_fleet.rs` with 5 s, too few learn of a slow target: predictions are off by up to
/// 1.54 with other random seeds, against 1.34 with 2 s.
const REPORTED_CHANGE_MIN: f64 = 1.1;
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Factor from which on a target counts as slow for operators, and the one below which it no longer
/// does. The gap keeps a factor that varies around the limit from being logged each time.
const SLOW_FACTOR: f64 = 1.5;
const NOT_SLOW_FACTOR: f64 = 1.35;
/// Samples, of own calls and reports of peers together, from which on operators are told that a
/// target is slow. Fewer vary enough by chance for a fleet to log thousands of changes a minute.
const LOGGED_SAMPLES_MIN: f64 = 10.0;
/// Least time between two changes of a target that are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a factor that no longer counts in selections is still used in predictions. A slow
/// target gets few calls other than those of instances that try it again, and these would all be
/// predicted as at a usual target.
const PREDICTION_MEMORY: Duration = Duration::from_mins(5);
/// Bounds of the machine's momentary figure, in percent.
const MACHINE_MIN_PERCENT: f64 = 25.0;
const MACHINE_MAX_PERCENT: f64 = 800.0;
/// Reports over which the machine's own mean is taken.
const MACHINE_REPORTS: f64 = 20.0;
/// Time in which the momentary figure falls half way to the machine's own mean, since it changes
/// many times a second, and the age from which on it does not count.
const MACHINE_HALF_LIFE: Duration = Duration::from_millis(300);
const MACHINE_AGE_MAX: Duration = Duration::from_millis(600);
/// Weight of the momentary figure: it is that of one moment, and work takes longer than that.
const MACHINE_WEIGHT: f64 = 0.5;

/// How fast one incarnation of a target is, compared with the other targets of its service: a
/// lasting factor, from calls of this instance and reports of peers, and a momentary one, from the
/// figure that the target's machine states.
#[derive(Debug, Clone, Default)]
pub struct TargetSpeed {
    /// Mean logarithm of the ratios of observed to predicted times.
    own_log: f64,
    own_samples: f64,
    sampled_at: Duration,
    /// Newest reports of peers.
    reports: BTreeMap<InstanceId, SpeedReport>,
    machine_percent: f64,
    machine_mean_percent: f64,
    machine_reports: f64,
    machine_at: Duration,
    /// Slots that the target stated last.
    pub(crate) slots: Option<u64>,
    /// Newest lasting factor that enough samples showed, as a logarithm.
    remembered_log: f64,
    remembered_at: Duration,
    /// Own factor last reported to peers, as a logarithm, and when.
    reported: Option<(f64, Duration)>,
    /// Whether operators were told that the target is slow, and when that last changed.
    is_slow: bool,
    slow_changed_at: Option<Duration>,
}

impl TargetSpeed {
    /// Learns from one call that took `ratio` times the predicted time. What the momentary figure
    /// explains is not attributed to the target.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_targets::TargetSpeed;
    /// let mut speed = TargetSpeed::default();
    /// for _ in 0..20 {
    ///     speed.learn(Duration::ZERO, 2.0);
    /// }
    /// assert!((speed.factor(Duration::ZERO) - 2.0).abs() < 0.01);
    /// assert_eq!(speed.factor(Duration::from_secs(30)), 1.0);
    /// ```
    pub fn learn(&mut self, now: Duration, ratio: f64) {
        let sample = bounded_log(ratio / self.momentary_log(now).exp());
        let remaining = self.own_samples * freshness(now, self.sampled_at);
        self.own_samples = remaining.min(SAMPLES_MAX - 1.0) + 1.0;
        self.own_log += (sample - self.own_log) / self.own_samples;
        self.sampled_at = now;
        self.remember(now);
    }

    /// Records the machine's momentary figure.
    pub fn record_machine(&mut self, now: Duration, percent: u64) {
        let percent = f64::from(u32::try_from(percent).unwrap_or(u32::MAX));
        let percent = percent.clamp(MACHINE_MIN_PERCENT, MACHINE_MAX_PERCENT);
        self.machine_reports = (self.machine_reports + 1.0).min(MACHINE_REPORTS);
        self.machine_mean_percent += (percent - self.machine_mean_percent) / self.machine_reports;
        self.machine_percent = percent;
        self.machine_at = now;
    }

    /// Applies a peer's report; of each peer only the newest counts.
    pub fn apply_report(&mut self, now: Duration, source: &str, report: SpeedReport) {
        self.reports.retain(|_, known| known.weight(now) > 0.0);
        let is_older = |known: &SpeedReport| known.at > report.at;
        if report.weight(now) <= 0.0 || self.reports.get(source).is_some_and(is_older) {
            return;
        }
        self.reports.insert(source.to_owned(), report);
        if self.reports.len() > REPORTS_MAX {
            let weight = |(_, report): &(&InstanceId, &SpeedReport)| report.weight(now);
            let reports = self.reports.iter();
            let least = reports.min_by(|one, other| weight(one).total_cmp(&weight(other)));
            if let Some(least) = least.map(|(source, _)| source.clone()) {
                self.reports.remove(&least);
            }
        }
        self.remember(now);
    }

    fn remember(&mut self, now: Duration) {
        if let Some(log) = self.merged(now, |_| 1.0) {
            self.remembered_log = log;
            self.remembered_at = now;
        }
    }

    /// Returns the report to send to peers: only this instance's own calls, so that no report
    /// returns to its sender as another's.
    #[must_use]
    pub fn report(&self, now: Duration) -> Option<SpeedReport> {
        let samples = self.own_samples * freshness(now, self.sampled_at);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // 2 to 20
        let report = SpeedReport {
            factor: self.own_log.exp(),
            samples: self.own_samples.round() as u64,
            at: self.sampled_at,
        };
        let deviates = report.evidence() >= REPORTED_DEVIATION_MIN.ln();
        (samples >= REPORTED_SAMPLES_MIN && deviates).then_some(report)
    }

    /// Tells whether peers should receive the report with the next digest: it was not sent before,
    /// differs noticeably from the one sent last, or that one was sent a while ago.
    pub(crate) fn is_report_due(&self, now: Duration) -> bool {
        self.reported.is_none_or(|(log, at)| {
            (self.own_log - log).abs() >= REPORTED_CHANGE_MIN.ln()
                || now.saturating_sub(at) >= REPORT_INTERVAL
        })
    }

    /// Records that the report was sent to peers.
    pub(crate) fn note_reported(&mut self, now: Duration) {
        self.reported = Some((self.own_log, now));
    }

    /// Returns the lasting factor: above 1 for a slow target. The instance's own samples count
    /// first, those of peers as far as own ones are missing.
    #[must_use]
    pub fn factor(&self, now: Duration) -> f64 {
        self.lasting_log(now).exp()
    }

    fn lasting_log(&self, now: Duration) -> f64 {
        let decayed = self.merged(now, |at| freshness(now, at));
        decayed.unwrap_or_default()
    }

    /// Returns the mean logarithm of the own factor and those that peers reported, each times what
    /// `decay` returns for its time; `None` without enough samples.
    fn merged(&self, now: Duration, decay: impl Fn(Duration) -> f64) -> Option<f64> {
        let own = self.own_samples * freshness(now, self.sampled_at);
        let (sum, logs) = self
            .reports
            .values()
            .fold((0.0, 0.0), |(sum, logs), report| {
                let weight = report.weight(now);
                let log = bounded_log(report.factor) * decay(report.at);
                (sum + weight, logs + weight * log)
            });
        let of_peers = f64::min(sum, SAMPLES_MAX - own);
        if own + of_peers < SAMPLES_MIN {
            return None;
        }
        let peers_log = if sum > 0.0 { logs / sum } else { 0.0 };
        let own_log = self.own_log * decay(self.sampled_at);
        Some((own * own_log + of_peers * peers_log) / (own + of_peers))
    }

    /// Returns the logarithm of the momentary factor, relative to the machine's own mean, which the
    /// lasting factor includes.
    fn momentary_log(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.machine_at);
        if self.machine_reports == 0.0 || age >= MACHINE_AGE_MAX {
            return 0.0;
        }
        let halvings = age.as_secs_f64() / MACHINE_HALF_LIFE.as_secs_f64();
        let mean = self.machine_mean_percent;
        let percent = mean + (self.machine_percent - mean) * 0.5_f64.powf(halvings);
        (percent / mean).ln() * MACHINE_WEIGHT
    }

    /// Returns the factor by which first tokens are predicted to take longer now.
    #[must_use]
    pub fn predicted_factor(&self, now: Duration) -> f64 {
        let is_remembered = now.saturating_sub(self.remembered_at) < PREDICTION_MEMORY;
        let lasting = if is_remembered {
            self.remembered_log
        } else {
            0.0
        };
        (lasting + self.momentary_log(now)).exp()
    }

    /// Returns the factor by which work costs more: 1 for all targets that are not slow, so that a
    /// fast one is not preferred by all instances.
    #[must_use]
    pub fn cost_factor(&self, now: Duration) -> f64 {
        let factor = (self.lasting_log(now) + self.momentary_log(now)).exp();
        if factor < DEVIATION_MIN { 1.0 } else { factor }
    }

    /// Tells whether the speed makes no call cost more.
    pub(crate) fn is_usual(&self, now: Duration) -> bool {
        self.cost_factor(now) <= 1.0
    }

    /// Tells whether the lasting factor deviates from 1 by more than chance.
    #[must_use]
    pub fn deviates(&self, now: Duration) -> bool {
        self.lasting_log(now).abs() >= DEVIATION_MIN.ln()
    }

    /// Tells whether anything is still known.
    pub(crate) fn is_known(&self, now: Duration) -> bool {
        let own = self.own_samples * freshness(now, self.sampled_at);
        own > 0.0 || self.has_reports(now)
    }

    /// Tells whether reports of peers still count.
    pub(crate) fn has_reports(&self, now: Duration) -> bool {
        let mut reports = self.reports.values();
        reports.any(|report| report.weight(now) > 0.0)
    }

    /// Updates whether the target counts as slow for operators; returns the new state if it
    /// changed. Both the calls of this instance and all samples together must show it, so that not
    /// every instance logs what one of them observed.
    pub(crate) fn update_slow(&mut self, now: Duration) -> Option<bool> {
        let changed_at = self.slow_changed_at;
        if changed_at.is_some_and(|at| now.saturating_sub(at) < LOG_INTERVAL) {
            return None;
        }
        let own = self.own_samples * freshness(now, self.sampled_at);
        let reports = self.reports.values();
        let of_peers: f64 = reports.map(|report| report.weight(now)).sum();
        if own < REPORTED_SAMPLES_MIN || own + of_peers < LOGGED_SAMPLES_MIN {
            return None;
        }
        let merged_log = self.merged(now, |_| 1.0)?;
        let is_slow = if self.is_slow {
            self.own_log.max(merged_log) >= NOT_SLOW_FACTOR.ln()
        } else {
            self.own_log.min(merged_log) >= SLOW_FACTOR.ln()
        };
        if is_slow == self.is_slow {
            return None;
        }
        self.is_slow = is_slow;
        self.slow_changed_at = Some(now);
        Some(is_slow)
    }

    /// Returns the lasting factor that the instance's own calls show.
    pub(crate) fn own_factor(&self) -> f64 {
        self.own_log.exp()
    }
}
