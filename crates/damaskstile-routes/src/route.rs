//! `route` says where calls to a host and path go and what holds for them.

use damaskstile_core::prelude::*;

use crate::kind::RouteKind;

/// `Share` is the part of a route's calls that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the shares of the route.
    pub weight: u64,
}

/// `Route` says where calls to a host and path go and what holds for them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that callers address, in lower case.
    pub host: String,
    /// Beginning of the path; ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services that the calls go to.
    pub shares: Vec<Share>,
    /// Time after which a caller gets its final answer in any case.
    pub timeout: Duration,
    /// Time within which an answer is of full use to its caller.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Targets that one call may be sent to.
    pub attempts_max: usize,
    /// Whether a call needs no key.
    pub is_anonymous: bool,
    /// Regions that may run the calls; empty for all.
    pub homes: BTreeSet<RegionId>,
}

impl Route {
    /// Chooses the service of a call by a number drawn for it.
    ///
    /// Returns `None` where no share has any weight.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use damaskstile_routes::{Route, RouteKind, Share};
    /// let share = |service: &str, weight| Share { service: service.to_owned(), weight };
    /// let route = Route {
    ///     name: "r".to_owned(), host: "h".to_owned(), path_prefix: "/".to_owned(),
    ///     kind: RouteKind::Idempotent, shares: vec![share("a", 9), share("b", 1)],
    ///     timeout: Duration::from_secs(1), objective: Duration::from_secs(1),
    ///     priority: 0, attempts_max: 1, is_anonymous: false, homes: Default::default(),
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
}
