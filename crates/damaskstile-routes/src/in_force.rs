//! `in_force` keeps the newest catalogue that was seen.

use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::catalogue::Catalogue;

/// `CatalogueInForce` keeps the newest catalogue. Versions only go up.
///
/// A read that lags, a peer that was cut off or a restart may bring an older version. Applied, it
/// would bring back routes and keys that operators have removed.
#[derive(Debug, Clone, Default)]
pub struct CatalogueInForce {
    catalogue: Option<Arc<Catalogue>>,
    applied_at: Duration,
}

impl CatalogueInForce {
    /// Takes in a version; returns whether it came into force.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_routes::{Catalogue, CatalogueInForce, Limits};
    /// let version = |n| Catalogue::try_new(n, Limits::default(), vec![], vec![], vec![]).unwrap();
    /// let mut in_force = CatalogueInForce::default();
    /// assert!(in_force.apply(Duration::ZERO, version(7)));
    /// assert!(!in_force.apply(Duration::ZERO, version(6)));
    /// ```
    pub fn apply(&mut self, now: Duration, catalogue: Catalogue) -> bool {
        if catalogue.version() <= self.version() {
            return false;
        }
        self.catalogue = Some(Arc::new(catalogue));
        self.applied_at = now;
        true
    }

    /// Returns the catalogue in force; `None` before the first.
    #[must_use]
    pub fn get(&self) -> Option<&Arc<Catalogue>> {
        self.catalogue.as_ref()
    }

    /// Returns the version in force; 0 before the first.
    #[must_use]
    pub fn version(&self) -> Version {
        self.catalogue
            .as_ref()
            .map_or(0, |catalogue| catalogue.version())
    }

    /// Returns the time since the version came into force here.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.applied_at)
    }
}
