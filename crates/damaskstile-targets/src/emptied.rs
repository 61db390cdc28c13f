//! `emptied` remembers to which data centres' targets nothing may be sent.

use damaskstile_core::prelude::*;

/// Data centres that are remembered at most. Operators name a few; more is no operator's word.
const EMPTIED_MAX: usize = 256;

/// `Emptied` remembers to which data centres' targets nothing may be sent, as of a version of the
/// store. An older word changes nothing, in whatever order words come.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Emptied {
    version: Option<Version>,
    data_centres: BTreeMap<DataCentreId, Duration>,
}

impl Emptied {
    /// Returns the version; `None` before anything was heard.
    #[must_use]
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Tells whether nothing may be sent to the targets of a data centre.
    #[must_use]
    pub fn covers(&self, data_centre: &str) -> bool {
        self.data_centres.contains_key(data_centre)
    }

    /// Returns the data centres with the time at which this instance heard that they are emptied.
    pub fn data_centres(&self) -> impl Iterator<Item = (&DataCentreId, Duration)> {
        self.data_centres.iter().map(|(name, since)| (name, *since))
    }

    /// Returns the names of the emptied data centres.
    #[must_use]
    pub fn names(&self) -> Vec<DataCentreId> {
        self.data_centres.keys().cloned().collect()
    }

    /// Takes in all emptied data centres as of a version. Returns those that are newly emptied and
    /// those that are taken back; `None` where a version as new is known.
    pub(crate) fn take_all(
        &mut self,
        now: Duration,
        version: Version,
        all: &BTreeSet<DataCentreId>,
    ) -> Option<EmptiedNews> {
        if self.version.is_some_and(|known| known >= version) {
            return None;
        }
        self.version = Some(version);
        let known: BTreeSet<DataCentreId> = self.data_centres.keys().cloned().collect();
        let news = EmptiedNews {
            emptied: all.difference(&known).cloned().collect(),
            taken_back: known.difference(all).cloned().collect(),
        };
        self.data_centres.retain(|name, _| all.contains(name));
        for name in &news.emptied {
            if self.data_centres.len() < EMPTIED_MAX {
                self.data_centres.insert(name.clone(), now);
            }
        }
        Some(news)
    }

    /// Takes in changes up to a version: data centres with whether each is emptied. Returns as
    /// [`Self::take_all`] does.
    pub(crate) fn take_changes(
        &mut self,
        now: Duration,
        version: Version,
        changes: &[(DataCentreId, bool)],
    ) -> Option<EmptiedNews> {
        let mut all: BTreeSet<DataCentreId> = self.data_centres.keys().cloned().collect();
        for (name, is_emptied) in changes {
            if *is_emptied {
                all.insert(name.clone());
            } else {
                all.remove(name);
            }
        }
        self.take_all(now, version, &all)
    }
}

/// `EmptiedNews` is what a word on emptied data centres changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EmptiedNews {
    /// Data centres to whose targets nothing may be sent from now on.
    pub emptied: Vec<DataCentreId>,
    /// Data centres that may get work again.
    pub taken_back: Vec<DataCentreId>,
}

impl EmptiedNews {
    /// Tells whether it changed nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.emptied.is_empty() && self.taken_back.is_empty()
    }
}
