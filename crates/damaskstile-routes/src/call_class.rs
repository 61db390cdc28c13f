//! Classes of calls by urgency.

use damaskstile_core::prelude::*;

/// Factor by which an objective must be longer for its calls to give way to more urgent ones. With
/// similar objectives, giving way would make the less urgent calls late instead.
const OBJECTIVE_RATIO: f64 = 1.3;

/// Factor by which an objective must be longer for prompts to wait for each other on few targets.
/// With less, their queue takes more time than the objective leaves.
const BULK_RATIO: f64 = 3.0;

/// `CallClass` describes calls that are equally urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallClass {
    /// Priority in force; 0 is the most urgent.
    pub priority: u8,
    /// Latency objective.
    pub objective: Duration,
    /// Longest pause between events for which a stream is on time; `None` for other calls.
    pub pause_limit: Option<Duration>,
}

impl CallClass {
    /// Returns whether calls of this class give way to those of another: they are less urgent, and
    /// their objective leaves them time to wait.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_routes::CallClass;
    /// let class = |priority, objective_ms| CallClass {
    ///     priority,
    ///     objective: Duration::from_millis(objective_ms),
    ///     pause_limit: None,
    /// };
    /// assert!(class(2, 1_500).yields_to(&class(0, 400)));
    /// assert!(!class(2, 150).yields_to(&class(0, 400)));
    /// ```
    #[must_use]
    pub fn yields_to(&self, other: &Self) -> bool {
        self.is_later_than(other, OBJECTIVE_RATIO)
    }

    /// Returns whether calls of this class are bulk work beside those of another: they are less
    /// urgent, and their objective leaves them time to queue for each other.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_routes::CallClass;
    /// let class = |priority, objective_ms| CallClass {
    ///     priority,
    ///     objective: Duration::from_millis(objective_ms),
    ///     pause_limit: None,
    /// };
    /// assert!(class(2, 1_500).is_bulk_beside(&class(0, 400)));
    /// assert!(!class(1, 800).is_bulk_beside(&class(0, 600)));
    /// ```
    #[must_use]
    pub fn is_bulk_beside(&self, other: &Self) -> bool {
        self.is_later_than(other, BULK_RATIO)
    }

    fn is_later_than(&self, other: &Self, ratio: f64) -> bool {
        self.priority > other.priority
            && self.objective.as_secs_f64() >= other.objective.as_secs_f64() * ratio
    }
}
