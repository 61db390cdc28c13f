//! Scheduled action of the simulation, ordered by time.

use damaskstile::core::prelude::*;

use super::Action;

/// An action scheduled at a time. `sequence` keeps actions at the same time first in, first out.
#[derive(Debug)]
pub struct Scheduled {
    pub at: Duration,
    pub sequence: u64,
    pub node: InstanceId,
    pub action: Action,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
