//! An instance's view of the others, by which it determines whether it is among the few that are to
//! do something.

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

/// Multiple of the share of instances to be chosen beyond which an instance's hash excludes it. If
/// it knows too few others, its rank among them says nothing.
const SHARE_FACTOR: f64 = 2.5;

/// If all but one in so many instances of the fleet are known, a rank among them is used as it is.
const KNOWN_PARTS: u64 = 10;

/// An instance's view of the others.
///
/// Instances that have fallen silent stay in it. Without them, each side of a partitioned fleet
/// would find the full number among its own instances.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    own: InstanceId,
    others: BTreeSet<InstanceId>,
    /// Largest number of instances that any instance reported.
    reported_instances: u64,
}

impl FleetView {
    /// Creates the view of an instance that knows no others.
    #[must_use]
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            ..Self::default()
        }
    }

    /// Records another instance; returns whether it is new.
    pub fn add_instance(&mut self, other: &str) -> bool {
        other != self.own && !self.others.contains(other) && self.others.insert(other.to_owned())
    }

    /// Records how many instances another one knows of; returns whether that is the largest number
    /// so far.
    pub fn record_count(&mut self, instances: u64) -> bool {
        let is_more = instances > self.reported_instances;
        self.reported_instances = self.reported_instances.max(instances);
        is_more
    }

    /// Returns the number of instances.
    #[must_use]
    pub fn instances(&self) -> u64 {
        self.known().max(self.reported_instances)
    }

    /// Tells whether this instance is among the `count` instances that a subject hashes to.
    ///
    /// ```
    /// use damaskstile_targets::FleetView;
    /// let mut views = ["a", "b", "c"].map(FleetView::new);
    /// for view in &mut views {
    ///     for other in ["a", "b", "c"] {
    ///         view.add_instance(other);
    ///     }
    /// }
    /// assert_eq!(views.iter().filter(|view| view.is_among(&["t"], 2)).count(), 2);
    /// ```
    #[must_use]
    pub fn is_among(&self, subject: &[&str], count: u64) -> bool {
        let instances = self.instances();
        if count >= instances {
            return true;
        }
        let own = rank(subject, &self.own);
        // The hash of this instance rules out most cases before all others are hashed.
        if share(own) * as_f64(instances) >= as_f64(count) * SHARE_FACTOR {
            return false;
        }
        self.better(subject, own) < self.places(count)
    }

    /// Tells whether this instance is among those that a subject hashes to in a turn. The first
    /// turn goes to the instances of [`Self::is_among`], each later one to as many that follow them
    /// by hash, and after the last turn the first ones come again.
    ///
    /// ```
    /// use damaskstile_targets::FleetView;
    /// let mut view = FleetView::new("a");
    /// view.add_instance("b");
    /// let turns = [0, 1, 2].map(|turn| view.is_in_turn(&["t"], 1, turn));
    /// assert_eq!(turns[0], turns[2]);
    /// assert_ne!(turns[0], turns[1]);
    /// ```
    #[must_use]
    pub fn is_in_turn(&self, subject: &[&str], count: u64, turn: u64) -> bool {
        let instances = self.instances();
        let turn = turn % instances.div_ceil(count.max(1)).max(1);
        if turn == 0 {
            return self.is_among(subject, count);
        }
        let places = self.places(count);
        let better = self.better(subject, rank(subject, &self.own));
        (places * turn..places * (turn + 1)).contains(&better)
    }

    fn better(&self, subject: &[&str], own: u64) -> u64 {
        let others = self.others.iter();
        let better = others.filter(|other| rank(subject, other) < own);
        u64::try_from(better.count()).unwrap_or(u64::MAX)
    }

    /// Returns how many of the lowest ranks among the known instances are chosen. If an instance
    /// knows only a part of the fleet, others with other parts find the same of themselves, so that
    /// the number chosen varies by chance; half as many ranks leave room for that.
    fn places(&self, count: u64) -> u64 {
        let (known, instances) = (self.known(), self.instances());
        if known * KNOWN_PARTS >= instances * (KNOWN_PARTS - 1) {
            count
        } else {
            count * known / instances / 2
        }
    }

    fn known(&self) -> u64 {
        u64::try_from(self.others.len()).map_or(u64::MAX, |others| others.saturating_add(1))
    }
}

fn rank(subject: &[&str], instance: &str) -> u64 {
    let parts: Vec<&str> = subject.iter().copied().chain([instance]).collect();
    stable_hash(&parts)
}

/// Returns where a hash lies in the range of all hashes, from 0 to 1.
fn share(hash: u64) -> f64 {
    as_f64(hash) / as_f64(u64::MAX)
}

#[allow(clippy::cast_precision_loss)] // a share, or a count far below 2^52
fn as_f64(number: u64) -> f64 {
    number as f64
}
