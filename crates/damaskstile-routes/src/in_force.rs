//! The catalogue in force.

use std::sync::Arc;

use damaskstile_core::prelude::*;

use crate::catalogue::Catalogue;

/// `CatalogueInForce` holds the newest catalogue received. Its version never decreases.
///
/// A stale read, a peer that was partitioned or a restart may deliver an older version. Applying it
/// would restore routes and keys that operators have removed.
#[derive(Debug, Clone, Default)]
pub struct CatalogueInForce {
    catalogue: Option<Arc<Catalogue>>,
    applied_at: Duration,
}

impl CatalogueInForce {
    /// Applies a catalogue if it is newer than the current one. Returns whether it was applied.
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

    /// Returns the catalogue in force; `None` before the first one.
    #[must_use]
    pub fn get(&self) -> Option<&Arc<Catalogue>> {
        self.catalogue.as_ref()
    }

    /// Returns the version in force; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> Version {
        self.catalogue
            .as_ref()
            .map_or(0, |catalogue| catalogue.version())
    }

    /// Returns the time since this instance applied the catalogue.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.applied_at)
    }
}
