//! `departures` remembers which incarnations of targets are leaving or gone.

use damaskstile_core::prelude::*;

/// Time for which peers are told that a target is leaving: longer than an isolation lasts.
pub(crate) const LEAVING_NEWS: Duration = Duration::from_secs(15);

/// Incarnations that drain and are told in one digest: some 30 bytes each.
const DRAINING_TOLD_MAX: usize = 32;
/// The same of those that vanished from the list, which says so itself.
const VANISHED_TOLD_MAX: usize = 16;

/// How it was learnt that an incarnation is leaving.
#[derive(Debug, Clone, Copy)]
struct Departure {
    incarnation: Option<TargetIncarnation>,
    at: Duration,
    /// Whether the incarnation is known to drain. It never takes work again then; one that only
    /// vanished from the list may come back to it.
    is_final: bool,
}

/// `Departures` remembers which incarnations of targets are leaving or gone, by any source.
///
/// Only the newest incarnation of each name is kept; the book passes on no word on an older one,
/// which comes late and says nothing of it. Without the incarnation a target that starts again
/// under its name would stay out of use for ever, and a late word on the one before it would take
/// it out.
#[derive(Debug, Default)]
pub struct Departures {
    left: BTreeMap<TargetId, Departure>,
    /// The same by the time of the departure.
    by_time: BTreeSet<(Duration, TargetId)>,
}

impl Departures {
    /// Takes in that an incarnation drains or has ended; returns whether that is news.
    pub(crate) fn leave(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        match self.left.get_mut(&identity.target) {
            Some(known) if known.incarnation == identity.incarnation => {
                // The news is as old as it was at first.
                known.is_final = true;
                false
            }
            _ => {
                self.insert(now, identity, true);
                true
            }
        }
    }

    /// Takes in that an incarnation vanished from the list; returns whether that is news.
    pub(crate) fn vanish(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        let known = self.left.get(&identity.target);
        if known.is_some_and(|known| known.incarnation == identity.incarnation) {
            return false;
        }
        self.insert(now, identity, false);
        true
    }

    fn insert(&mut self, now: Duration, identity: &TargetIdentity, is_final: bool) {
        let departure = Departure {
            incarnation: identity.incarnation,
            at: now,
            is_final,
        };
        self.remove(&identity.target);
        self.by_time.insert((now, identity.target.clone()));
        self.left.insert(identity.target.clone(), departure);
    }

    fn remove(&mut self, target: &str) {
        if let Some(departure) = self.left.remove(target) {
            self.by_time.remove(&(departure.at, target.to_owned()));
        }
    }

    /// Takes in that the list shows an incarnation as ready, which ends any departure but a drain
    /// of this or a newer one.
    pub(crate) fn listed_ready(&mut self, identity: &TargetIdentity) {
        let ends = self.left.get(&identity.target).is_some_and(|known| {
            let is_same = known.incarnation == identity.incarnation;
            known.incarnation < identity.incarnation || (is_same && !known.is_final)
        });
        if ends {
            self.remove(&identity.target);
        }
    }

    /// Tells whether the incarnation in the list is leaving or gone, or one that followed on it.
    /// Departures of older ones end when it is listed.
    pub(crate) fn covers(&self, target: &str) -> bool {
        self.left.contains_key(target)
    }

    /// Returns the newest incarnation of a name that left.
    pub(crate) fn newest(&self, target: &str) -> Option<TargetIncarnation> {
        self.left.get(target)?.incarnation
    }

    /// Returns the incarnations that lately began to drain, or that lately vanished, the newest first
    /// and no more than are told. A data centre that is lost takes a thousand targets with it; in each
    /// digest of each instance they would fill all links. Whoever is in touch with the store, or
    /// hears from one that is, has them from the list.
    pub(crate) fn told(&self, now: Duration, is_final: bool) -> Vec<TargetIdentity> {
        let told_max = if is_final {
            DRAINING_TOLD_MAX
        } else {
            VANISHED_TOLD_MAX
        };
        let lately = self.by_time.iter().rev();
        lately
            .take_while(|(at, _)| now.saturating_sub(*at) < LEAVING_NEWS)
            .filter_map(|(_, target)| Some((target, self.left.get(target)?)))
            .filter(|(_, known)| known.is_final == is_final)
            .take(told_max)
            .map(|(target, known)| TargetIdentity::new(target, known.incarnation))
            .collect()
    }

    /// Tells whether any incarnation lately began to drain or vanished.
    pub(crate) fn is_in_flux(&self, now: Duration) -> bool {
        let newest = self.by_time.last();
        newest.is_some_and(|(at, _)| now.saturating_sub(*at) < LEAVING_NEWS)
    }
}
