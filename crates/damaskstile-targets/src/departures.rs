//! Tracks the incarnations of targets that are leaving or gone.

use damaskstile_core::prelude::*;

/// Time for which a departure is reported to peers: longer than an instance is isolated.
pub(crate) const DEPARTURE_REPORT_SPAN: Duration = Duration::from_secs(15);

/// Draining incarnations reported in one digest, at some 30 bytes each.
const DRAINING_REPORTS_MAX: usize = 32;
/// Delisted incarnations reported in one digest; the list itself shows their absence too.
const DELISTED_REPORTS_MAX: usize = 16;

/// Recorded departure of an incarnation.
#[derive(Debug, Clone, Copy)]
struct Departure {
    incarnation: Option<TargetIncarnation>,
    at: Duration,
    /// Whether the incarnation is known to drain, after which it never takes work again. One that
    /// was only delisted may be listed again.
    is_final: bool,
}

/// Incarnations of targets that are leaving or gone, from any source.
///
/// Only the newest incarnation of each target is kept; the target table drops reports on older
/// ones, which are late and do not concern it. Without the incarnation, a target that restarts
/// under its name would stay out of use for ever, and a late report on its predecessor would take
/// it out of use.
#[derive(Debug, Default)]
pub struct Departures {
    left: BTreeMap<TargetId, Departure>,
    /// Targets by the time of their departure.
    by_time: BTreeSet<(Duration, TargetId)>,
}

impl Departures {
    /// Records that an incarnation drains or has ended; returns whether that is new.
    pub(crate) fn leave(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
        match self.left.get_mut(&identity.target) {
            Some(known) if known.incarnation == identity.incarnation => {
                // The departure keeps the time of the first report.
                known.is_final = true;
                false
            }
            _ => {
                self.insert(now, identity, true);
                true
            }
        }
    }

    /// Records that an incarnation was delisted; returns whether that is new.
    pub(crate) fn delist(&mut self, now: Duration, identity: &TargetIdentity) -> bool {
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

    /// Forgets the departure of a target's incarnation, whose start turned out to be wrong.
    pub(crate) fn forget(&mut self, target: &str) {
        self.remove(target);
    }

    /// Applies that the list shows an incarnation as ready. This cancels the departure of an older
    /// incarnation, and that of the same incarnation if it was only delisted.
    pub(crate) fn listed_ready(&mut self, identity: &TargetIdentity) {
        let ends = self.left.get(&identity.target).is_some_and(|known| {
            let is_same = known.incarnation == identity.incarnation;
            known.incarnation < identity.incarnation || (is_same && !known.is_final)
        });
        if ends {
            self.remove(&identity.target);
        }
    }

    /// Tells whether a target's listed incarnation, or one that followed it, is leaving or gone.
    /// Departures of older ones are cancelled when it is listed.
    pub(crate) fn covers(&self, target: &str) -> bool {
        self.left.contains_key(target)
    }

    /// Tells whether an incarnation is known to drain, rather than only to be delisted.
    pub(crate) fn is_final(&self, identity: &TargetIdentity) -> bool {
        let known = self.left.get(&identity.target);
        known.is_some_and(|known| known.is_final && known.incarnation == identity.incarnation)
    }

    /// Returns the incarnation of a target that left last.
    pub(crate) fn newest(&self, target: &str) -> Option<TargetIncarnation> {
        self.left.get(target)?.incarnation
    }

    /// Returns the incarnations that recently began to drain or that were recently delisted, newest
    /// first and up to the limit of a digest. The loss of a data centre takes a thousand targets
    /// with it; in each digest of each instance they would fill all links. Instances that are in
    /// contact with the store, or with an instance that is, learn of them from the list.
    pub(crate) fn to_report(&self, now: Duration, is_final: bool) -> Vec<TargetIdentity> {
        let reports_max = if is_final {
            DRAINING_REPORTS_MAX
        } else {
            DELISTED_REPORTS_MAX
        };
        let lately = self.by_time.iter().rev();
        lately
            .take_while(|(at, _)| now.saturating_sub(*at) < DEPARTURE_REPORT_SPAN)
            .filter_map(|(_, target)| Some((target, self.left.get(target)?)))
            .filter(|(_, known)| known.is_final == is_final)
            .take(reports_max)
            .map(|(target, known)| TargetIdentity::new(target, known.incarnation))
            .collect()
    }

    /// Tells whether any incarnation recently began to drain or was recently delisted.
    pub(crate) fn is_in_flux(&self, now: Duration) -> bool {
        let newest = self.by_time.last();
        newest.is_some_and(|(at, _)| now.saturating_sub(*at) < DEPARTURE_REPORT_SPAN)
    }
}
