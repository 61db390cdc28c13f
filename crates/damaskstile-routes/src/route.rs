//! Routes, which assign calls to services.

use damaskstile_core::prelude::*;

use crate::bounds::{DURATION_MAX, WEIGHT_MAX};
use crate::call_class::CallClass;
use crate::kind::RouteKind;

/// `Share` is the fraction of a route's calls that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the other shares of the route.
    pub weight: u64,
}

/// `Route` assigns calls to a host and path to services, and sets the rules for these calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that callers address, in lower case.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Type of the calls, which determines whether they may be repeated.
    pub kind: RouteKind,
    /// Services that the calls go to.
    pub shares: Vec<Share>,
    /// Time limit of a call. The caller gets a final answer by then in any case.
    pub timeout: Duration,
    /// Latency objective: time within which an answer is of full use to the caller.
    pub objective: Duration,
    /// Longest pause between two events for which a stream is on time; `None` if the operator
    /// declares none.
    pub pause_limit: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of sends of one call that may reach a target.
    pub attempts_max: usize,
    /// Whether calls are accepted without a key.
    pub is_anonymous: bool,
    /// Home regions, which may run the calls; empty for all regions.
    pub home_regions: BTreeSet<RegionId>,
}

impl Route {
    /// Returns the route with its numbers lowered to the bounds of a catalogue.
    pub(crate) fn bounded(mut self) -> Self {
        for share in &mut self.shares {
            share.weight = share.weight.min(WEIGHT_MAX);
        }
        Self {
            timeout: self.timeout.min(DURATION_MAX),
            objective: self.objective.min(DURATION_MAX),
            pause_limit: self.pause_limit.map(|pause| pause.min(DURATION_MAX)),
            ..self
        }
    }

    /// Chooses the service of a call by weight, given a number drawn at random.
    ///
    /// Returns `None` if no share has a weight above 0.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use damaskstile_routes::{Route, RouteKind, Share};
    /// let share = |service: &str, weight| Share { service: service.to_owned(), weight };
    /// let route = Route {
    ///     name: "r".to_owned(), host: "h".to_owned(), path_prefix: "/".to_owned(),
    ///     kind: RouteKind::Idempotent, shares: vec![share("a", 9), share("b", 1)],
    ///     timeout: Duration::from_secs(1), objective: Duration::from_secs(1),
    ///     pause_limit: None, priority: 0, attempts_max: 1, is_anonymous: false, home_regions: Default::default(),
    /// };
    /// assert_eq!(route.service(8), Some("a"));
    /// assert_eq!(route.service(9), Some("b"));
    /// ```
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        if total == 0 {
            return None;
        }
        let mut rest = draw % total;
        for share in &self.shares {
            if rest < share.weight {
                return Some(&share.service);
            }
            rest -= share.weight;
        }
        None
    }

    /// Returns the class of the route's calls at the priority in force, which an account may
    /// override.
    #[must_use]
    pub fn class(&self, priority: u8) -> CallClass {
        CallClass {
            priority,
            objective: self.objective,
            pause_limit: self.pause_limit.filter(|_| self.kind.is_stream()),
        }
    }
}
