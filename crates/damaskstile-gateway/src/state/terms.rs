//! What the catalogue in force specifies for a call.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_routes::{Catalogue, Route};

/// `Terms` is what the catalogue in force specifies for a call.
#[derive(Debug, Clone)]
pub struct Terms {
    /// The catalogue in force.
    pub catalogue: Arc<Catalogue>,
    /// Time since it came into force at this instance.
    pub catalogue_age: Duration,
    /// The route.
    pub route: Arc<Route>,
    /// The service chosen by the route's traffic split.
    pub service: ServiceId,
    /// Client account; `None` on routes that require none.
    pub account: Option<AccountId>,
    /// Regions that may run the call; `None` for all.
    pub home_regions: Option<Arc<BTreeSet<RegionId>>>,
    /// Priority rank of the call.
    pub priority: u8,
    /// Whether the call is bulk work beside more urgent streams of the same service.
    pub is_bulk: bool,
}
