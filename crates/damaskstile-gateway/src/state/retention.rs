//! Drops what was learned about routes and services that the catalogue no longer has.

use damaskstile_core::prelude::*;

use super::State;

impl State {
    /// Drops what was learned about routes that no longer exist.
    pub fn retain_routes(&mut self, routes: &BTreeSet<String>) {
        self.call_times.retain(|route| routes.contains(route));
        let admission = &mut self.pressure.admission;
        admission.retain_routes(|route| routes.contains(route));
    }

    /// Drops what was learned about services that no longer exist.
    pub fn retain_services(&mut self, services: &BTreeSet<ServiceId>) {
        self.reach
            .retain_services(|service| services.contains(service));
        self.target_table
            .retain_rejection_limits(|service| services.contains(service));
    }
}
