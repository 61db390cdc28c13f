//! Scheduled action of the simulation, ordered by time.

use damaskstile::core::prelude::*;

use super::What;

/// An action scheduled at a time. `order` keeps actions at the same time first in, first out.
#[derive(Debug)]
pub struct Due {
    pub at: Duration,
    pub order: u64,
    pub node: InstanceId,
    pub what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
