//! Difference that one write made to the ledger, for peers.

use damaskstile_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::entry::HolderEntry;
use crate::holder::Round;
use crate::ledger::{Ledger, is_first_history};

/// Difference that one write made to the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerChange {
    /// Ledger version on which the write was based.
    pub follows: Version,
    /// Ledger version that the write created.
    pub version: Version,
    /// Newest catalogue version whose prepaid amounts were used.
    pub catalogue_version: Version,
    /// The writer.
    pub instance: InstanceId,
    /// The writer's entry.
    pub entry: HolderEntry,
    /// Tokens that count as spent, by account.
    pub settled_tokens: BTreeMap<AccountId, u64>,
    /// Orphaned entries of ended incarnations.
    #[serde(rename = "estates")]
    pub orphaned_entries: BTreeMap<String, HolderEntry>,
    /// History of the store in which the ledger was created or last rebuilt.
    #[serde(default, skip_serializing_if = "is_first_history")]
    pub history: History,
    /// Instances that have not reported their holdings since then.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub unconfirmed: BTreeSet<InstanceId>,
}

impl LedgerChange {
    /// Returns the change that an instance's write made, with the version that it created; `None`
    /// if the write also changed entries of other instances. Sent as a change of the writer alone,
    /// it would leave peers with a ledger that was never stored.
    ///
    /// ```
    /// use damaskstile_escrow::{LedgerChange, Round};
    /// assert!(LedgerChange::try_new(&Round::default(), "one", 2).is_none());
    /// ```
    #[must_use]
    pub fn try_new(round: &Round, instance: &str, version: Version) -> Option<Self> {
        if !round.reported.is_empty() {
            return None;
        }
        let ledger = &round.ledger;
        Some(Self {
            follows: round.expected_version,
            version,
            catalogue_version: ledger.catalogue_version,
            instance: instance.to_owned(),
            entry: ledger.holders.get(instance)?.clone(),
            settled_tokens: ledger.settled_tokens.clone(),
            orphaned_entries: ledger.orphaned_entries.clone(),
            history: ledger.history,
            unconfirmed: ledger.unconfirmed.clone(),
        })
    }

    pub(crate) fn apply(self, ledger: &mut Ledger) {
        ledger.catalogue_version = self.catalogue_version;
        ledger.settled_tokens = self.settled_tokens;
        ledger.orphaned_entries = self.orphaned_entries;
        ledger.history = self.history;
        ledger.unconfirmed = self.unconfirmed;
        ledger.holders.insert(self.instance, self.entry);
    }
}
