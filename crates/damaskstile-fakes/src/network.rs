//! Fake network with partitions, message loss, duplication and reordering.

use std::collections::BTreeSet;
use std::time::Duration;

use damaskstile::core::prelude::Random;

/// Links between instances and from instances to the store.
#[derive(Debug, Clone, Default)]
pub struct Network {
    /// Instances on one side of a partition; they reach only each other, as do all others.
    pub island: BTreeSet<String>,
    /// Whether the island, rather than the other side, reaches the store.
    pub is_store_on_island: bool,
    /// Instances that cannot reach the store, whatever the partition.
    pub no_store: BTreeSet<String>,
    /// Share of messages that are lost, in percent.
    pub loss_percent: u64,
    /// Share of messages of which an extra copy is delivered, in percent.
    pub duplicate_percent: u64,
    /// Maximum random delay added to a message, so that messages can arrive out of order.
    pub jitter: Duration,
}

impl Network {
    /// Returns whether two instances can reach each other.
    #[must_use]
    pub fn is_connected(&self, one: &str, other: &str) -> bool {
        self.island.contains(one) == self.island.contains(other)
    }

    /// Returns whether an instance can reach the store.
    #[must_use]
    pub fn has_store(&self, instance: &str) -> bool {
        let is_cut =
            !self.island.is_empty() && self.island.contains(instance) != self.is_store_on_island;
        !is_cut && !self.no_store.contains(instance)
    }

    /// Returns the delay of each delivered copy of a message; empty if the message is lost.
    pub fn deliveries(&self, random: &mut Random, delay: Duration) -> Vec<Duration> {
        let mut copies = Vec::new();
        if random.below(100) >= self.loss_percent {
            copies.push(delay + self.random_jitter(random));
        }
        if random.below(100) < self.duplicate_percent {
            copies.push(delay + self.random_jitter(random));
        }
        copies
    }

    fn random_jitter(&self, random: &mut Random) -> Duration {
        let micros = u64::try_from(self.jitter.as_micros()).unwrap_or(0);
        Duration::from_micros(random.below(micros + 1))
    }
}
