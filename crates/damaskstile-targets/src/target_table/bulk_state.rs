//! What an instance knows of bulk prompts, by service.

use damaskstile_core::prelude::*;

use super::bulk_load::BulkLoad;
use super::bulk_reports::BulkReports;
use super::bulk_targets::BulkTargets;
use crate::bulk_rate::BulkRate;

/// Milliseconds of prefill per second below which a load is forgotten.
pub(super) const LOAD_MIN_MS: f64 = 0.5;

/// A load is announced when it exceeds the one announced before by this factor and this much: a
/// quarter of a target's time, so that the few instances with most of the load announce it.
const RISE_FACTOR: f64 = 1.5;
const RISE_MIN_MS: f64 = 150.0;

/// Load of bulk prompts, and the targets that take them.
#[derive(Debug, Clone, Default)]
pub(super) struct BulkState {
    /// Load that arrives at this instance.
    pub(super) loads: BTreeMap<ServiceId, BulkLoad>,
    /// Loads that others reported.
    pub(super) reports: BulkReports,
    /// Load that was last announced to peers, at most the present one.
    announced_ms: BTreeMap<ServiceId, f64>,
    /// The targets set apart, as last decided.
    pub(super) targets: BTreeMap<ServiceId, BulkTargets>,
}

impl BulkState {
    pub(super) fn own_rate(&self, now: Duration, service: &str) -> BulkRate {
        let load = self.loads.get(service);
        load.map(|load| load.rate(now)).unwrap_or_default()
    }

    /// Tells whether the load at this instance has risen by so much since it was last announced
    /// that peers should learn of it before the next digests reach them by chance.
    pub(super) fn take_rise(&mut self, service: &str, own: BulkRate) -> bool {
        let announced_ms = self.announced_ms.get(service).copied().unwrap_or_default();
        let has_risen = own.recent_ms >= announced_ms * RISE_FACTOR + RISE_MIN_MS;
        if has_risen || own.recent_ms < announced_ms {
            self.announced_ms.insert(service.to_owned(), own.recent_ms);
        }
        has_risen
    }

    /// Forgets a service without load.
    pub(super) fn forget(&mut self, service: &str) {
        self.loads.remove(service);
        self.announced_ms.remove(service);
    }

    /// Returns the services with a load, or with targets set apart.
    pub(super) fn services(&self) -> BTreeSet<ServiceId> {
        let own = self.loads.keys();
        let all = own
            .chain(self.reports.services())
            .chain(self.targets.keys());
        all.cloned().collect()
    }
}
