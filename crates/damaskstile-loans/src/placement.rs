//! Chooses the instances that lend an account's tokens.

mod candidate;

use std::cmp::Reverse;

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

pub use candidate::Candidate;

/// Chooses the instances that lend an account's tokens.
///
/// Instances are ranked by a hash of their own name and the account's (rendezvous hashing). So all
/// instances with the same list choose the same lenders, and an instance that joins or leaves moves
/// only the accounts that it lends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    candidates: Vec<Candidate>,
}

impl Placement {
    /// Creates the placement over the known instances.
    #[must_use]
    pub fn new(candidates: Vec<Candidate>) -> Self {
        Self { candidates }
    }

    /// Returns the lenders of an account in the order in which an instance of a data centre asks
    /// them: the best two of its own data centre, so that one may fail, then the best of each other
    /// data centre, by rank.
    ///
    /// One lender in each data centre keeps the account usable if data centres lose contact with
    /// each other.
    ///
    /// ```
    /// use damaskstile_loans::{Candidate, Placement};
    /// let address = "127.0.0.1:1".parse().unwrap();
    /// let of = |name: &str, centre: &str| Candidate::new(name, address, centre);
    /// let placement = Placement::new(vec![of("a", "north"), of("b", "north"), of("c", "south")]);
    /// assert_eq!(placement.lenders("account", "south")[0].instance, "c");
    /// assert_eq!(placement.lenders("account", "north")[2].instance, "c");
    /// ```
    #[must_use]
    pub fn lenders(&self, account: &str, data_centre: &str) -> Vec<&Candidate> {
        let mut own = Vec::new();
        let mut best_of: BTreeMap<&str, (u64, &Candidate)> = BTreeMap::new();
        for candidate in &self.candidates {
            let ranked = (rank(account, candidate), candidate);
            if candidate.data_centre == data_centre {
                own.push(ranked);
                continue;
            }
            let best = best_of.entry(&candidate.data_centre).or_insert(ranked);
            if ranked.0 > best.0 {
                *best = ranked;
            }
        }
        own.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        own.truncate(OWN_LENDERS);
        let mut others: Vec<_> = best_of.into_values().collect();
        others.sort_unstable_by_key(|(rank, _)| Reverse(*rank));
        let all = own.into_iter().chain(others);
        all.map(|(_, candidate)| candidate).collect()
    }
}

/// Number of lenders that an instance asks in its own data centre: the second replaces the first if
/// that has ended.
const OWN_LENDERS: usize = 2;

fn rank(account: &str, candidate: &Candidate) -> u64 {
    stable_hash(&["lender", account, &candidate.instance])
}
