//! `network` fakes the links between instances.

use std::collections::BTreeSet;
use std::time::Duration;

use damaskstile::core::prelude::Random;

/// `Network` fakes the links between instances and from them to the store.
#[derive(Debug, Clone, Default)]
pub struct Network {
    /// Instances that only reach one another; all others reach each other.
    pub island: BTreeSet<String>,
    /// Whether the island reaches the store.
    pub is_store_on_island: bool,
    /// Instances that do not reach the store.
    pub no_store: BTreeSet<String>,
    /// Messages that are lost, in percent.
    pub loss_percent: u64,
    /// Messages that come twice, in percent.
    pub twice_percent: u64,
    /// Longest extra delay of a message; it makes messages overtake each other.
    pub jitter: Duration,
}

impl Network {
    /// Tells whether two instances reach each other.
    #[must_use]
    pub fn is_joined(&self, one: &str, other: &str) -> bool {
        self.island.contains(one) == self.island.contains(other)
    }

    /// Tells whether an instance reaches the store.
    #[must_use]
    pub fn has_store(&self, instance: &str) -> bool {
        let is_cut =
            !self.island.is_empty() && self.island.contains(instance) != self.is_store_on_island;
        !is_cut && !self.no_store.contains(instance)
    }

    /// Returns the delays after which copies of a message come; none where it is lost.
    pub fn deliveries(&self, random: &mut Random, delay: Duration) -> Vec<Duration> {
        let mut copies = Vec::new();
        if random.below(100) >= self.loss_percent {
            copies.push(delay + self.extra(random));
        }
        if random.below(100) < self.twice_percent {
            copies.push(delay + self.extra(random));
        }
        copies
    }

    fn extra(&self, random: &mut Random) -> Duration {
        let micros = u64::try_from(self.jitter.as_micros()).unwrap_or(0);
        Duration::from_micros(random.below(micros + 1))
    }
}
