//! `cold_options` sets what a cold target may get from all instances together.

use std::collections::BTreeMap;

use damaskstile_core::ids::ServiceId;
use damaskstile_routes::Catalogue;
use damaskstile_targets::ColdLimit;

/// `ColdOptions` sets what a cold target may get from all instances together, from the calls a
/// second that its service says it bears.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdOptions {
    /// So many times as many.
    pub factor: f64,
    /// And so many more.
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
    /// Returns the limits that a catalogue sets for the cold targets of its services.
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
