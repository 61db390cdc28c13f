//! Index of a service's targets, in the orders in which selections go through them.

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

/// Odd multiplier that scatters the keys of an order, and its inverse modulo 2^64.
const SCATTER_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;
const SCATTER_INVERSE: u64 = 0xF1DE_83E1_9937_733D;
/// Targets remembered for one prompt part: the last ones, which are the most likely to cache it.
const PART_TARGETS_MAX: usize = 16;
/// Bits by which keys are rotated for the reservation order, so that it differs from the ring
/// order.
const ROTATED_BITS: u32 = 32;

/// Targets of one service in the orders in which selections go through them, so that a selection
/// examines few of them, however many there are.
///
/// Each order sorts keys that are derived from a hash of the target's name. All instances share the
/// first two orders. The third differs between instances, so that instances that know nothing of
/// each other's calls do not all send to the same target.
#[derive(Debug)]
pub(super) struct ServiceIndex {
    ring: BTreeMap<u64, TargetId>,
    reservation_order: BTreeSet<u64>,
    own_order: BTreeMap<DataCentreId, BTreeSet<u64>>,
    own_seed: u64,
    /// Targets of which this instance knows more than the list says, not counting prompt parts sent
    /// there.
    marked: BTreeSet<TargetId>,
    /// Targets that shared prompt parts were last sent to, by part, with the time.
    sent_parts: BTreeMap<u64, VecDeque<(Duration, TargetId)>>,
    pub(super) swept_at: Duration,
}

impl ServiceIndex {
    pub(super) fn new(own_seed: u64) -> Self {
        Self {
            ring: BTreeMap::new(),
            reservation_order: BTreeSet::new(),
            own_order: BTreeMap::new(),
            own_seed,
            marked: BTreeSet::new(),
            sent_parts: BTreeMap::new(),
            swept_at: Duration::ZERO,
        }
    }

    pub(super) fn insert(&mut self, target: &str, data_centre: &str) {
        let key = self.key(target);
        self.ring.insert(key, target.to_owned());
        self.reservation_order.insert(key.rotate_left(ROTATED_BITS));
        let own_key = self.own_key(key);
        let of_data_centre = self.own_order.entry(data_centre.to_owned()).or_default();
        of_data_centre.insert(own_key);
    }

    pub(super) fn remove(&mut self, target: &str, data_centre: &str) {
        let key = self.key(target);
        self.marked.remove(target);
        self.ring.remove(&key);
        self.reservation_order
            .remove(&key.rotate_left(ROTATED_BITS));
        let own_key = self.own_key(key);
        if let Some(of_data_centre) = self.own_order.get_mut(data_centre) {
            of_data_centre.remove(&own_key);
            if of_data_centre.is_empty() {
                self.own_order.remove(data_centre);
            }
        }
    }

    /// Records that this instance knows more of a target than the list says.
    pub(super) fn mark(&mut self, target: &str) {
        if !self.marked.contains(target) {
            self.marked.insert(target.to_owned());
        }
    }

    /// Keeps only the marks for which the predicate holds.
    pub(super) fn sweep(&mut self, is_marked: impl Fn(&TargetId) -> bool) {
        self.marked.retain(is_marked);
    }

    /// Records that a shared prompt part was sent to a target.
    pub(super) fn note_part(&mut self, now: Duration, part: u64, target: &str) {
        let targets = self.sent_parts.entry(part).or_default();
        targets.retain(|(_, other)| other != target);
        targets.push_back((now, target.to_owned()));
        if targets.len() > PART_TARGETS_MAX {
            targets.pop_front();
        }
    }

    /// Forgets the parts that were last sent before a time.
    pub(super) fn forget_parts(&mut self, before: Duration) {
        self.sent_parts
            .retain(|_, targets| targets.back().is_some_and(|(at, _)| *at >= before));
    }

    /// Returns the targets that a part was last sent to.
    pub(super) fn targets_of_part(&self, part: u64) -> impl Iterator<Item = &TargetId> {
        let targets = self.sent_parts.get(&part).into_iter().flatten();
        targets.map(|(_, target)| target)
    }

    pub(super) fn is_marked(&self, target: &str) -> bool {
        self.marked.contains(target)
    }

    pub(super) fn marked(&self) -> impl Iterator<Item = &TargetId> {
        self.marked.iter()
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &TargetId> {
        self.ring.values()
    }

    /// Returns all targets in the ring order, which all instances share, beginning at the ring
    /// position of a shared prefix.
    pub(super) fn in_ring_order_from(
        &self,
        shared_prefix: &str,
    ) -> impl Iterator<Item = &TargetId> {
        let position = stable_hash(&[shared_prefix]);
        let before = self.ring.range(..position);
        let from = self.ring.range(position..);
        from.chain(before).map(|(_, target)| target)
    }

    /// Returns all targets in the order in which they are reserved for long prompts.
    pub(super) fn in_reservation_order(&self) -> impl Iterator<Item = &TargetId> {
        let keys = self.reservation_order.iter();
        keys.filter_map(|key| self.ring.get(&key.rotate_right(ROTATED_BITS)))
    }

    /// Returns the targets up to a key in the reservation order, beginning at a position that
    /// differs between instances.
    pub(super) fn reserved_from_own_position(&self, below: u64) -> impl Iterator<Item = &TargetId> {
        let position = self.own_seed % below.max(1);
        let keys = self.reservation_order.range(position..=below.max(position));
        let keys = keys.chain(self.reservation_order.range(..position));
        keys.filter_map(|key| self.ring.get(&key.rotate_right(ROTATED_BITS)))
    }

    /// Returns all targets in the order in which they take bulk prompts, each with its key in the
    /// reservation order, of which it is the reverse.
    pub(super) fn in_bulk_order(&self) -> impl Iterator<Item = (u64, &TargetId)> {
        let keys = self.reservation_order.iter().rev();
        keys.filter_map(|key| Some((*key, self.ring.get(&key.rotate_right(ROTATED_BITS))?)))
    }

    /// Returns a key from which on there are about `count` targets in the reservation order. The
    /// keys are hashes, so a share of their range holds about the same share of the targets.
    pub(super) fn key_of_last(&self, count: usize) -> u64 {
        let all = u64::try_from(self.len().max(1)).unwrap_or(u64::MAX);
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        u64::MAX - (u64::MAX / all).saturating_mul(count)
    }

    /// Returns the targets from a key on in the reservation order, beginning at a position.
    pub(super) fn bulk_from(
        &self,
        from_key: u64,
        position: u64,
    ) -> impl Iterator<Item = &TargetId> + use<'_> {
        let span = u64::MAX - from_key;
        let position = from_key + position % span.max(1);
        let keys = self.reservation_order.range(position..);
        let keys = keys.chain(self.reservation_order.range(from_key..position));
        keys.filter_map(|key| self.ring.get(&key.rotate_right(ROTATED_BITS)))
    }

    /// Returns the targets from a key on in the reservation order, beginning at a position that
    /// differs between instances.
    pub(super) fn bulk_from_own_position(
        &self,
        from_key: u64,
    ) -> impl Iterator<Item = &TargetId> + use<'_> {
        self.bulk_from(from_key, self.own_seed)
    }

    /// Returns a target's key in the reservation order.
    pub(super) fn reservation_key(&self, target: &str) -> u64 {
        self.key(target).rotate_left(ROTATED_BITS)
    }

    pub(super) fn len(&self) -> usize {
        self.ring.len()
    }

    /// Returns the targets of each data centre in this instance's own order.
    pub(super) fn in_own_order(
        &self,
    ) -> impl Iterator<Item = (&DataCentreId, impl Iterator<Item = &TargetId>)> {
        self.own_order.iter().map(|(data_centre, keys)| {
            let keys = keys.iter().map(|own_key| self.key_of_own(*own_key));
            let targets = keys.filter_map(|key| self.ring.get(&key));
            (data_centre, targets)
        })
    }

    /// Returns a target's position in this instance's own order.
    pub(super) fn own_position(&self, target: &str) -> u64 {
        self.own_key(self.key(target))
    }

    /// Returns the key of a target: the hash of its name, or the next key that no other name has.
    fn key(&self, target: &str) -> u64 {
        let mut key = stable_hash(&["target", target]);
        while self.ring.get(&key).is_some_and(|other| other != target) {
            key = key.wrapping_add(1);
        }
        key
    }

    fn own_key(&self, key: u64) -> u64 {
        (key ^ self.own_seed).wrapping_mul(SCATTER_FACTOR)
    }

    fn key_of_own(&self, own_key: u64) -> u64 {
        own_key.wrapping_mul(SCATTER_INVERSE) ^ self.own_seed
    }
}
