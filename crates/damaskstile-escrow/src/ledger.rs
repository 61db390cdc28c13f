//! Stored state of all budgets of a shard.

use damaskstile_core::identity::writer_name;
use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::entry::HolderEntry;
use crate::unlock_rate::Unlocked;

/// Upper limit of the sum of all token numbers in a ledger. Far above all that is sold, and low
/// enough that sums over a few ledgers cannot overflow.
const SUM_TOKENS_MAX: u64 = 1 << 56;

/// Largest age assumed for a stale copy of the store.
const STALE_COPY_AGE_MAX: Duration = Duration::from_secs(10);

/// Records the tokens that are spent and what each instance may still spend.
///
/// Invariant: at every version and for every account, settled and granted tokens together do not
/// exceed what the account had bought when the version was written.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Newest catalogue version whose prepaid amounts were used. A writer that knows only an older
    /// catalogue grants nothing, because the amounts may have been lowered since.
    pub catalogue_version: Version,
    /// Tokens that count as spent, by account.
    pub settled_tokens: BTreeMap<AccountId, u64>,
    /// Entries of the instances, with their grants.
    pub holders: BTreeMap<InstanceId, HolderEntry>,
    /// Orphaned entries: those of ended incarnations, kept until it is known what they can have
    /// spent.
    #[serde(rename = "estates")]
    pub orphaned_entries: BTreeMap<String, HolderEntry>,
    /// History of the store in which the ledger was created or last rebuilt.
    #[serde(default, skip_serializing_if = "is_first_history")]
    pub history: History,
    /// Instances that have not reported their holdings since the ledger was rebuilt. Until they
    /// have, nothing more is granted, because the free tokens may be the ones that they hold.
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

    /// Returns the tokens that are granted to instances, including orphaned entries.
    #[must_use]
    pub fn granted(&self, account: &str) -> u64 {
        self.holders
            .values()
            .chain(self.orphaned_entries.values())
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

    /// Checks the ledger by itself; returns a description of the fault, if there is one.
    #[must_use]
    pub fn fault(&self) -> Option<&'static str> {
        let is_over_limit = self.sum_tokens().is_none_or(|sum| sum > SUM_TOKENS_MAX);
        is_over_limit.then_some("sum of all token numbers exceeds the limit")
    }

    /// Checks a ledger against the one stored before it; returns a description of the fault, if
    /// there is one.
    ///
    /// Instances only increase settled tokens and only move to newer catalogues. A ledger in which
    /// either went back, or whose sums overflow, was written by something else, and spent tokens
    /// would be granted again from it.
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
            // A rebuilt ledger may lack entries that no instance remembered.
            None
        } else if self.catalogue_version < before.catalogue_version {
            Some("catalogue version decreased")
        } else if before.settled_tokens.iter().any(has_fallen) {
            Some("settled tokens of an account decreased")
        } else {
            None
        }
    }

    /// Returns whether this ledger contains everything that another one of the same lineage
    /// contains: no settled amount is lower and no write of an instance is missing.
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
                        .orphaned_entries
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

    /// Returns the ledger as rebuilt in a history of the store.
    pub(crate) fn rebuilt_in(&self, history: History) -> Self {
        Self {
            history,
            unconfirmed: self.holders.keys().cloned().collect(),
            ..self.clone()
        }
    }

    /// Counts as spent what instances may have been granted after a stale copy was made, for use
    /// when no instance remembers a newer ledger than the copy. It is bounded by what is left of an
    /// account, unless the catalogue lacks the account, so that nobody knows what is left.
    pub(crate) fn write_off_lost(&mut self, prepaid_tokens: &BTreeMap<AccountId, u64>) {
        let mut demands: BTreeMap<AccountId, u64> = BTreeMap::new();
        for (account, tokens_per_s, _) in self.holders.values().flat_map(HolderEntry::demands) {
            *demands.entry(account).or_default() += tokens_per_s;
        }
        for (account, tokens_per_s) in demands {
            let lost = tokens_per_s.saturating_mul(STALE_COPY_AGE_MAX.as_secs());
            let prepaid = prepaid_tokens.get(&account);
            let left = prepaid.map_or(u64::MAX, |prepaid| self.pool(&account, *prepaid));
            self.settle(&account, lost.min(left));
        }
    }

    /// Notes that an instance has reported its holdings.
    pub(crate) fn confirm(&mut self, instance: &str) {
        self.unconfirmed.remove(instance);
    }

    /// Stops waiting for the instances that have not reported their holdings. If such an instance
    /// has ended, all that it is known to hold counts as spent, because its later grants are not
    /// known.
    pub(crate) fn confirm_all(&mut self) {
        for instance in std::mem::take(&mut self.unconfirmed) {
            if let Some(entry) = self.holders.get_mut(&instance) {
                entry.raise_ceilings();
            }
        }
    }

    /// Adds up all numbers of tokens; `None` on overflow.
    fn sum_tokens(&self) -> Option<u64> {
        let entries = self.holders.values().chain(self.orphaned_entries.values());
        entries
            .flat_map(HolderEntry::token_maps)
            .chain([&self.settled_tokens])
            .flat_map(BTreeMap::values)
            .try_fold(0_u64, |sum, tokens| sum.checked_add(*tokens))
    }

    pub(crate) fn settle(&mut self, account: &str, tokens: u64) {
        if tokens > 0 {
            *self.settled_tokens.entry(account.to_owned()).or_default() += tokens;
        }
    }

    /// Moves the entry of an ended incarnation to the orphaned entries.
    pub(crate) fn orphan(&mut self, instance: &str) {
        if let Some(mut entry) = self.holders.remove(instance) {
            if self.unconfirmed.remove(instance) {
                entry.raise_ceilings();
            }
            let name = writer_name(instance, entry.incarnation);
            self.orphaned_entries.insert(name, entry);
        }
    }

    /// Settles an orphaned entry: what it can have spent counts as spent, and the rest of its
    /// grants is free.
    pub(crate) fn settle_orphaned(&mut self, name: &str, unlocked: Unlocked) {
        if let Some(entry) = self.orphaned_entries.remove(name) {
            for account in entry.grants_tokens.keys() {
                self.settle(account, entry.spent_bound(account, unlocked));
            }
        }
    }
}
