//! Classes of the calls that arrived recently.

use damaskstile_core::prelude::*;
use damaskstile_routes::CallClass;

/// Time for which a class counts after its last call.
const RECENT: Duration = Duration::from_secs(10);

/// Classes of the calls that arrived recently, each with the time of its last call. There are as
/// many as routes and priorities of accounts differ. Which of them yield is determined only when
/// one is added or dropped, so that a call does not take longer the more classes there are.
#[derive(Debug, Clone, Default)]
pub struct RecentClasses {
    last_calls: BTreeMap<CallClass, Duration>,
    /// Classes that yield, each with the one of the shortest objective that it yields to.
    yielding: BTreeMap<CallClass, CallClass>,
    /// Time until which no class can be due to be dropped.
    kept_until: Duration,
}

impl RecentClasses {
    /// Records a call, and drops the classes without recent calls. Classes without an objective are
    /// left out: a limit derived from zero would reject all calls that yield to them.
    pub fn note(&mut self, now: Duration, class: CallClass) {
        let is_new = !class.objective.is_zero() && self.last_calls.insert(class, now).is_none();
        if is_new || now > self.kept_until {
            self.last_calls
                .retain(|_, last_call| now.saturating_sub(*last_call) <= RECENT);
            let oldest = self.last_calls.values().min();
            self.kept_until = oldest.map_or(now, |oldest| *oldest + RECENT);
            let classes = self.last_calls.keys();
            let yielding = classes.filter_map(|class| Some((*class, self.most_urgent(class)?)));
            self.yielding = yielding.collect();
        }
    }

    /// Returns the class with the shortest objective among those that calls of `class`, a recent
    /// one, yield to.
    #[must_use]
    pub fn yields_to(&self, class: &CallClass) -> Option<CallClass> {
        self.yielding.get(class).copied()
    }

    fn most_urgent(&self, class: &CallClass) -> Option<CallClass> {
        let urgent = self
            .last_calls
            .keys()
            .filter(|other| class.yields_to(other));
        urgent.min_by_key(|other| other.objective).copied()
    }

    /// Returns whether any class yields to another.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        !self.yielding.is_empty()
    }

    /// Returns the shortest objective of a rank.
    #[must_use]
    pub fn shortest_objective(&self, rank: u8) -> Option<Duration> {
        let of_rank = self
            .last_calls
            .keys()
            .filter(|class| class.priority == rank);
        of_rank.map(|class| class.objective).min()
    }
}
