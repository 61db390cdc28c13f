//! Reports of other instances on their load of bulk prompts.

use damaskstile_core::prelude::*;

use crate::bulk_rate::BulkRate;

/// Age at which a report no longer counts. An instance of a fleet of a hundred receives the digest
/// of each other one several times within it.
const REPORT_AGE_MAX: Duration = Duration::from_secs(8);
/// Services in one report.
pub(super) const SERVICES_MAX: usize = 8;
/// Most milliseconds of prefill per second that one report can state for a service: a thousand
/// targets. It keeps sums finite whatever a faulty instance sends.
const LOAD_MAX_MS: f64 = 1e6;

/// Loads that one instance reported.
#[derive(Debug, Clone)]
struct Report {
    at: Duration,
    rates: BTreeMap<ServiceId, BulkRate>,
}

/// Reports of other instances on their load of bulk prompts.
#[derive(Debug, Clone, Default)]
pub(super) struct BulkReports {
    reports: BTreeMap<InstanceId, Report>,
}

impl BulkReports {
    /// Records a report, which replaces the former one of its sender. A report that does not name a
    /// service states that its sender has no load there.
    pub(super) fn record(&mut self, now: Duration, from: &str, rates: &[(ServiceId, BulkRate)]) {
        let rates = rates.iter().take(SERVICES_MAX);
        let rates = rates.map(|(service, rate)| (service.clone(), bounded(*rate)));
        let report = Report {
            at: now,
            rates: rates.collect(),
        };
        self.reports.insert(from.to_owned(), report);
    }

    /// Drops the reports that no longer count.
    pub(super) fn expire(&mut self, now: Duration) {
        self.reports
            .retain(|_, report| now.saturating_sub(report.at) < REPORT_AGE_MAX);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the services that reports name.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let reports = self.reports.values();
        reports.flat_map(|report| report.rates.keys())
    }

    /// Returns the load of the whole fleet, in milliseconds of prefill per second. Instances
    /// without a report count with the mean of the others.
    pub(super) fn fleet_ms_per_s(&self, service: &str, own: BulkRate, instances: u64) -> f64 {
        let reported = self.reports.values();
        let reported = reported.filter_map(|report| report.rates.get(service));
        let sum = reported.fold(own, |sum, rate| BulkRate {
            recent_ms: sum.recent_ms + rate.recent_ms,
            lasting_ms: sum.lasting_ms + rate.lasting_ms,
        });
        let known = u32::try_from(self.reports.len() + 1).unwrap_or(u32::MAX);
        let instances = u32::try_from(instances).unwrap_or(u32::MAX).max(known);
        sum.larger_ms() * f64::from(instances) / f64::from(known)
    }
}

fn bounded(rate: BulkRate) -> BulkRate {
    let bounded = |ms: f64| {
        let is_number = !ms.is_nan();
        if is_number {
            ms.clamp(0.0, LOAD_MAX_MS)
        } else {
            0.0
        }
    };
    BulkRate {
        recent_ms: bounded(rate.recent_ms),
        lasting_ms: bounded(rate.lasting_ms),
    }
}
