//! `ledger` is the stored state of all budgets of a shard.

use damaskstile_core::identity::writer_name;
use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::entry::HolderEntry;
use crate::pace::Unlocked;

/// Most that all numbers of tokens in a ledger may add up to. Far above all that is sold, and so
/// far below the largest number that no sum of a few ledgers' numbers can overflow.
const SUM_TOKENS_MAX: u64 = 1 << 56;

/// Age that a copy of the store may have.
const LOST_SPAN: Duration = Duration::from_secs(10);

/// `Ledger` says what is spent for good and what each instance may still spend.
///
/// At every version, for every account, settled and granted tokens together are at most what the
/// account had bought when the version was written.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Newest catalogue whose sums were used. A writer that knows only an older one grants
    /// nothing, because the sums may have been lowered since.
    pub catalogue_version: Version,
    /// Tokens that count as spent.
    pub settled_tokens: BTreeMap<AccountId, u64>,
    /// The instances with their grants.
    pub holders: BTreeMap<InstanceId, HolderEntry>,
    /// Parts of incarnations that ended, until it is known what they can have spent.
    pub estates: BTreeMap<String, HolderEntry>,
    /// History of the store in which it was begun, or begun anew.
    #[serde(default, skip_serializing_if = "is_first_history")]
    pub history: History,
    /// Instances that have not said what they hold since it was begun anew. Until then nothing
    /// more is granted: it may be what they hold.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unconfirmed: BTreeSet<InstanceId>,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // serde passes a reference
pub(crate) fn is_first_history(history: &History) -> bool {
    *history == 0
}

impl Ledger {
    /// Returns the tokens that count as spent.
    #[must_use]
    pub fn settled(&self, account: &str) -> u64 {
        self.settled_tokens.get(account).copied().unwrap_or(0)
    }

    /// Returns the tokens that are granted to instances, those that ended among them.
    #[must_use]
    pub fn granted(&self, account: &str) -> u64 {
        self.holders
            .values()
            .chain(self.estates.values())
            .filter_map(|holder| holder.grants_tokens.get(account))
            .sum()
    }

    /// Returns the tokens that are neither spent nor granted.
    ///
    /// ```
    /// use damaskstile_escrow::Ledger;
    /// assert_eq!(Ledger::default().pool("a", 50), 50);
    /// ```
    #[must_use]
    pub fn pool(&self, account: &str, prepaid_tokens: u64) -> u64 {
        prepaid_tokens
            .saturating_sub(self.settled(account))
            .saturating_sub(self.granted(account))
    }

    /// Returns what is wrong with a ledger whatever was stored before it, if anything is.
    #[must_use]
    pub fn fault(&self) -> Option<&'static str> {
        let is_absurd = self.sum_tokens().is_none_or(|sum| sum > SUM_TOKENS_MAX);
        is_absurd.then_some("the sums are absurd")
    }

    /// Returns what is wrong with a ledger that was stored after another, if anything is.
    ///
    /// Instances only add to what counts as spent and only go on to newer catalogues. A ledger
    /// that goes back, or has sums that cannot be added up, is another writer's, and tokens that
    /// are spent would be handed out again on it.
    ///
    /// ```
    /// use damaskstile_escrow::Ledger;
    /// let before = Ledger { catalogue_version: 2, ..Ledger::default() };
    /// assert_eq!(before.fault_after(&before), None);
    /// assert!(Ledger::default().fault_after(&before).is_some());
    /// ```
    #[must_use]
    pub fn fault_after(&self, before: &Self) -> Option<&'static str> {
        let has_fallen = |(account, settled): (&AccountId, &u64)| self.settled(account) < *settled;
        let is_same_history = self.history == before.history;
        if let Some(fault) = self.fault() {
            Some(fault)
        } else if !is_same_history {
            // Begun anew, it may lack what nobody remembered.
            None
        } else if self.catalogue_version < before.catalogue_version {
            Some("the catalogue's version fell")
        } else if before.settled_tokens.iter().any(has_fallen) {
            Some("tokens that counted as spent do not any more")
        } else {
            None
        }
    }

    /// Tells whether it has all that another ledger of the same line has: no sum is lower there, and
    /// no write of an instance is missing.
    ///
    /// ```
    /// use damaskstile_escrow::Ledger;
    /// let before = Ledger::default();
    /// let after = Ledger { settled_tokens: [("a".to_owned(), 5)].into(), ..Ledger::default() };
    /// assert!(after.is_after(&before));
    /// assert!(!before.is_after(&after));
    /// ```
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        let mut settled = other.settled_tokens.iter();
        let has_rounds = |(instance, entry): (&InstanceId, &HolderEntry)| {
            self.holders.get(instance).is_some_and(|own| {
                let is_succeeded = || {
                    other
                        .estates
                        .contains_key(&writer_name(instance, own.incarnation))
                };
                if own.incarnation == entry.incarnation {
                    own.round >= entry.round
                } else {
                    !is_succeeded()
                }
            })
        };
        settled.all(|(account, tokens)| self.settled(account) >= *tokens)
            && other.holders.iter().all(has_rounds)
    }

    /// Returns it as it is begun anew in a history of the store.
    pub(crate) fn begun_in(&self, history: History) -> Self {
        Self {
            history,
            unconfirmed: self.holders.keys().cloned().collect(),
            ..self.clone()
        }
    }

    /// Counts as spent what instances can have been granted after a copy that nobody remembers
    /// more than.
    pub(crate) fn write_off_lost(&mut self, prepaid_tokens: &BTreeMap<AccountId, u64>) {
        for (account, prepaid) in prepaid_tokens {
            let demands = self.holders.values();
            let demands = demands.filter_map(|entry| entry.demand_tokens_per_s.get(account));
            let lost = demands.sum::<u64>().saturating_mul(LOST_SPAN.as_secs());
            let lost = lost.min(self.pool(account, *prepaid));
            self.settle(account, lost);
        }
    }

    /// Takes in that an instance has said what it holds.
    pub(crate) fn confirm(&mut self, instance: &str) {
        self.unconfirmed.remove(instance);
    }

    /// Goes on without those that have not said what they hold. Should they have ended, all that
    /// they are known to hold counts as spent: what they were granted later is not known.
    pub(crate) fn confirm_all(&mut self) {
        for instance in std::mem::take(&mut self.unconfirmed) {
            if let Some(entry) = self.holders.get_mut(&instance) {
                entry.count_whole();
            }
        }
    }

    /// Adds all numbers of tokens up; `None` where there is no such sum.
    fn sum_tokens(&self) -> Option<u64> {
        let entries = self.holders.values().chain(self.estates.values());
        entries
            .flat_map(HolderEntry::token_sums)
            .chain([&self.settled_tokens])
            .flat_map(BTreeMap::values)
            .try_fold(0_u64, |sum, tokens| sum.checked_add(*tokens))
    }

    pub(crate) fn settle(&mut self, account: &str, tokens: u64) {
        if tokens > 0 {
            *self.settled_tokens.entry(account.to_owned()).or_default() += tokens;
        }
    }

    /// Sets the part of an incarnation that ended apart.
    pub(crate) fn close(&mut self, instance: &str) {
        if let Some(mut entry) = self.holders.remove(instance) {
            if self.unconfirmed.remove(instance) {
                entry.count_whole();
            }
            let name = writer_name(instance, entry.incarnation);
            self.estates.insert(name, entry);
        }
    }

    /// Settles what an incarnation that ended can have spent; the rest of its grants is free.
    pub(crate) fn settle_estate(&mut self, name: &str, unlocked: Unlocked) {
        if let Some(entry) = self.estates.remove(name) {
            for account in entry.grants_tokens.keys() {
                self.settle(account, entry.spent_bound(account, unlocked));
            }
        }
    }
}
