//! Metric of targets that differ in speed from the others of their services.

use damaskstile_core::prelude::*;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::{Metrics, TargetLabels};

/// Makes and registers the metric.
pub(super) fn register(registry: &mut Registry) -> Family<TargetLabels, Gauge> {
    let speeds = Family::default();
    let help = "Time that work takes at a target, in percent of the usual, for those that deviate";
    registry.register("target_speed_percent", help, speeds.clone());
    speeds
}

impl Metrics {
    /// Sets the speeds of the targets that deviate; the series of all others end.
    pub fn sample_target_speeds(&self, percents: &[(TargetId, u64)]) {
        self.target_speed_percent.clear();
        for (target, percent) in percents {
            let labels = TargetLabels {
                target: target.clone(),
            };
            let percent = i64::try_from(*percent).unwrap_or(i64::MAX);
            self.target_speed_percent
                .get_or_create(&labels)
                .set(percent);
        }
    }
}
