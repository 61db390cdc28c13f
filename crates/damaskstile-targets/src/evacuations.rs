//! Tracks which data centres operators have evacuated.

use damaskstile_core::prelude::*;

/// Most data centres that are remembered. Operators name a few; more cannot come from an operator.
const EVACUATED_MAX: usize = 256;

/// Evacuated data centres, to whose targets nothing may be sent, as of a version of the store. An
/// older update changes nothing, in whatever order updates arrive.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    version: Option<Version>,
    data_centres: BTreeMap<DataCentreId, Duration>,
}

impl Evacuations {
    /// Returns the version of the store; `None` before the first update.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Tells whether a data centre is evacuated.
    #[must_use]
    pub fn covers(&self, data_centre: &str) -> bool {
        self.data_centres.contains_key(data_centre)
    }

    /// Returns the evacuated data centres, each with the time at which this instance learned of it.
    pub fn data_centres(&self) -> impl Iterator<Item = (&DataCentreId, Duration)> {
        self.data_centres.iter().map(|(name, since)| (name, *since))
    }

    /// Returns the names of the evacuated data centres.
    #[must_use]
    pub fn names(&self) -> Vec<DataCentreId> {
        self.data_centres.keys().cloned().collect()
    }

    /// Applies the full set of evacuated data centres as of a version. Returns those that are newly
    /// evacuated and those that are taken back; `None` if the known version is at least as new.
    pub(crate) fn apply_all(
        &mut self,
        now: Duration,
        version: Version,
        all: &BTreeSet<DataCentreId>,
    ) -> Option<EvacuationChanges> {
        if self.version.is_some_and(|known| known >= version) {
            return None;
        }
        self.version = Some(version);
        let known: BTreeSet<DataCentreId> = self.data_centres.keys().cloned().collect();
        let changes = EvacuationChanges {
            evacuated: all.difference(&known).cloned().collect(),
            taken_back: known.difference(all).cloned().collect(),
        };
        self.data_centres.retain(|name, _| all.contains(name));
        for name in &changes.evacuated {
            if self.data_centres.len() < EVACUATED_MAX {
                self.data_centres.insert(name.clone(), now);
            }
        }
        Some(changes)
    }

    /// Applies changes up to a version: data centres, each with whether it is evacuated. Returns
    /// the same as [`Self::apply_all`].
    pub(crate) fn apply_changes(
        &mut self,
        now: Duration,
        version: Version,
        changes: &[(DataCentreId, bool)],
    ) -> Option<EvacuationChanges> {
        let mut all: BTreeSet<DataCentreId> = self.data_centres.keys().cloned().collect();
        for (name, is_evacuated) in changes {
            if *is_evacuated {
                all.insert(name.clone());
            } else {
                all.remove(name);
            }
        }
        self.apply_all(now, version, &all)
    }
}

/// What an update of the evacuated data centres changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChanges {
    /// Newly evacuated data centres.
    pub evacuated: Vec<DataCentreId>,
    /// Data centres that may receive work again.
    pub taken_back: Vec<DataCentreId>,
}

impl EvacuationChanges {
    /// Tells whether the update changed nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.taken_back.is_empty()
    }
}
