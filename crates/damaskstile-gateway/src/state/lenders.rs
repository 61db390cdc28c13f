//! Selection of the instances that an instance of a large fleet asks for loans of tokens.

use damaskstile_core::prelude::*;
use damaskstile_loans::{Candidate, Placement};

use super::State;
use crate::neighbours;

/// Time after which the candidate lenders are determined anew. Instances come and go within
/// minutes; one that is gone meanwhile is skipped because it does not answer.
const PLACEMENT_LIFETIME: Duration = Duration::from_secs(2);

/// Lenders of an account in a data centre that prepare for borrowers.
const NEAR_LENDERS: u64 = 2;
/// Share of an instance that an account must use for lenders to prepare for its calls elsewhere.
const EXPECTED_SHARE_MIN: f64 = 0.25;
/// Age up to which a report of such an account counts.
const EXPECTED_AGE_MAX: Duration = Duration::from_secs(3);

/// `Lenders` caches the placement of lenders and the lenders of each account.
#[derive(Debug, Default)]
pub(super) struct Lenders {
    made_at: Option<Duration>,
    placement: Placement,
    of_account: BTreeMap<AccountId, Vec<Candidate>>,
}

/// `LendersToAsk` is the list of instances to ask for an account's tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LendersToAsk {
    /// Whether this instance is the first lender and asks others only for the tokens that it lacks.
    pub is_own_first: bool,
    /// The other lenders, in the order in which to ask them.
    pub others: Vec<Candidate>,
}

impl State {
    /// Returns the instances to ask for an account's tokens; none in a small fleet, where each
    /// instance holds a share.
    pub fn lenders(&mut self, now: Duration, account: &str) -> LendersToAsk {
        if !self.is_large_fleet() || !self.holder.is_prepaid(account) {
            return LendersToAsk::default();
        }
        self.place_lenders(now);
        let placement = &self.lenders.placement;
        let data_centre = &self.own_candidate.data_centre;
        let of_account = &mut self.lenders.of_account;
        let all = of_account.entry(account.to_owned()).or_insert_with(|| {
            let lenders = placement.lenders(account, data_centre);
            lenders.into_iter().cloned().collect()
        });
        let answers = |one: &&Candidate| {
            one.instance == self.instance || !self.borrower.is_unresponsive(now, &one.instance)
        };
        let answering: Vec<Candidate> = all.iter().filter(answers).cloned().collect();
        let first = answering.first();
        LendersToAsk {
            // If no better lender answers, this instance acts as the first one.
            is_own_first: first.is_none_or(|one| one.instance == self.instance),
            others: answering
                .into_iter()
                .filter(|one| one.instance != self.instance)
                .collect(),
        }
    }

    /// Prepares this instance to lend tokens of accounts that use much of another instance of the
    /// data centre. When that instance leaves the load balancer's rotation, the account's callers
    /// reach one that holds none of its tokens, and borrow from this one.
    pub fn expect_borrowers(&mut self, now: Duration) {
        if !self.is_large_fleet() || !self.load_sharing.applies() {
            return;
        }
        // Many instances may report the same account; it is looked up once.
        let mut rates: BTreeMap<AccountId, u64> = BTreeMap::new();
        let (data_centre, members) = (&self.own_candidate.data_centre, self.members.values());
        for (_, load) in neighbours::reports(now, data_centre, members, EXPECTED_AGE_MAX) {
            let busiest = load.busiest.as_ref();
            if let Some(busiest) = busiest.filter(|one| one.share >= EXPECTED_SHARE_MIN) {
                let rate = rates.entry(busiest.account.clone()).or_default();
                *rate = (*rate).max(busiest.tokens_per_s);
            }
        }
        for (account, tokens_per_s) in rates {
            if self.is_near_lender(now, &account) {
                let tokens_per_s = tokens_per_s / NEAR_LENDERS;
                self.holder.expect_lending(now, &account, tokens_per_s);
            }
        }
    }

    /// Returns whether this instance is one of the first lenders of an account in its data centre.
    fn is_near_lender(&mut self, now: Duration, account: &str) -> bool {
        self.place_lenders(now);
        let data_centre = &self.own_candidate.data_centre;
        let lenders = self.lenders.placement.lenders(account, data_centre);
        let near = lenders
            .iter()
            .take(usize::try_from(NEAR_LENDERS).unwrap_or(0));
        near.into_iter().any(|one| one.instance == self.instance)
    }

    /// Returns the peer to ask when all lenders have too few tokens: the one that last reported the
    /// most tokens of the account, if these may be enough and it was not asked yet.
    #[must_use]
    pub fn richest_lender(
        &self,
        now: Duration,
        account: &str,
        tokens: u64,
        asked: &[Candidate],
    ) -> Option<Candidate> {
        let members = self.members_by_free_tokens(now, account).into_iter();
        members
            .filter(|(free, _, name)| *free >= tokens && !self.borrower.is_unresponsive(now, name))
            .map(|(_, address, name)| Candidate::new(name, address, ""))
            .find(|one| asked.iter().all(|other| other.instance != one.instance))
    }

    fn place_lenders(&mut self, now: Duration) {
        let is_fresh = |at: Duration| now.saturating_sub(at) < PLACEMENT_LIFETIME;
        if self.lenders.made_at.is_some_and(is_fresh) {
            return;
        }
        self.lenders = Lenders {
            made_at: Some(now),
            placement: Placement::new(self.candidates()),
            of_account: BTreeMap::new(),
        };
    }

    /// Returns all instances that the ledger lists or that are known from gossip, except those that
    /// are stopping.
    fn candidates(&self) -> Vec<Candidate> {
        let mut candidates = BTreeMap::new();
        for (name, entry) in &self.holder.ledger().holders {
            if let Ok(address) = entry.address.parse() {
                let candidate = Candidate::new(name, address, &entry.data_centre);
                candidates.insert(name, candidate);
            }
        }
        for (name, member) in &self.members {
            if member.is_stopping {
                candidates.remove(name);
            } else if !member.data_centre.is_empty() {
                let candidate = Candidate::new(name, member.address, &member.data_centre);
                candidates.insert(name, candidate);
            }
        }
        candidates.insert(&self.instance, self.own_candidate.clone());
        candidates.into_values().collect()
    }
}
