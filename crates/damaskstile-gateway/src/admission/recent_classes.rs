//! Classes of the calls that arrived recently.

use damaskstile_core::prelude::*;
use damaskstile_routes::CallClass;

/// Time for which a class counts after its last call.
const RECENT: Duration = Duration::from_secs(10);

/// Classes of the calls that arrived recently, each with the time of its last call. There are as
/// many as routes and priorities of accounts differ.
#[derive(Debug, Clone, Default)]
pub struct RecentClasses {
    last_calls: BTreeMap<CallClass, Duration>,
}

impl RecentClasses {
    /// Records a call, and drops the classes without recent calls. Classes without an objective are
    /// left out: a limit derived from zero would reject all calls that yield to them.
    pub fn note(&mut self, now: Duration, class: CallClass) {
        if !class.objective.is_zero() {
            self.last_calls.insert(class, now);
        }
        self.last_calls
            .retain(|_, last_call| now.saturating_sub(*last_call) <= RECENT);
    }

    /// Returns the class with the shortest objective among those that calls of `class` yield to.
    #[must_use]
    pub fn yields_to(&self, class: &CallClass) -> Option<CallClass> {
        let urgent = self
            .last_calls
            .keys()
            .filter(|other| class.yields_to(other));
        urgent.min_by_key(|other| other.objective).copied()
    }

    /// Returns whether any class yields to another.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        let mut classes = self.last_calls.keys();
        classes.any(|class| self.yields_to(class).is_some())
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
