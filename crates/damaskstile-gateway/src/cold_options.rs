//! Settings for the rate of calls to cold targets.

use std::collections::BTreeMap;

use damaskstile_core::ids::ServiceId;
use damaskstile_routes::Catalogue;
use damaskstile_targets::ColdLimit;

/// Sets the rate of calls that a cold target may get from all instances together, relative to the
/// calls a second that its service declares for cold targets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdOptions {
    /// Factor applied to the declared rate.
    pub factor: f64,
    /// Calls a second added to that.
    pub extra_calls: f64,
}

impl Default for ColdOptions {
    fn default() -> Self {
        Self {
            factor: 1.0,
            extra_calls: 0.0,
        }
    }
}

impl ColdOptions {
    /// Returns the limits for cold targets by service, from the catalogue.
    ///
    /// ```
    /// use damaskstile_gateway::cold_options::ColdOptions;
    /// use damaskstile_routes::Catalogue;
    /// assert!(ColdOptions::default().limits(&Catalogue::default()).is_empty());
    /// ```
    #[must_use]
    pub fn limits(&self, catalogue: &Catalogue) -> BTreeMap<ServiceId, ColdLimit> {
        let limits = catalogue.services().map(|service| {
            let calls = service.cold_calls_per_s;
            let limit = ColdLimit {
                cold_time: service.cold_time,
                calls_per_s: calls.map(|calls| calls * self.factor + self.extra_calls),
            };
            (service.name.clone(), limit)
        });
        limits.collect()
    }
}
