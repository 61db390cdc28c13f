//! Updates to the list of targets, from the store and from peers, ordered by the versions of the
//! list.

use damaskstile_core::prelude::*;
use damaskstile_targets::{Listed, Refused};

use super::State;
use crate::objects::Listing;

/// `ReportedChanges` holds the changes in the list of targets that a peer reported.
#[derive(Debug, Clone, Default)]
pub struct ReportedChanges {
    /// New or changed entries.
    pub listed: Vec<Listed>,
    /// Names that were removed from the list.
    pub gone: Vec<TargetId>,
}

impl State {
    /// Applies the whole list of targets as of a version, unless a newer one is known: a list that
    /// was requested earlier may arrive late over a saturated link. Returns the newly refused
    /// entries.
    pub fn apply_list(
        &mut self,
        now: Duration,
        version: Version,
        all: Vec<Result<Listed, Refused>>,
        is_around_outage: bool,
    ) -> Vec<Refused> {
        if version < self.targets_version {
            return Vec::new();
        }
        let all = self.delisted_targets.filter_list(version, all);
        self.targets_version = version;
        let refused = self.target_table.list_all(now, all, is_around_outage);
        self.target_table.take_touched();
        self.list_changes.restart(version);
        refused
    }

    /// Applies a listing of the store. One that could not be read to its end leaves the targets that
    /// it does not cover as they are, and is not passed on to peers as a version of the list.
    pub fn apply_listing(
        &mut self,
        now: Duration,
        listing: &Listing,
        all: Vec<Result<Listed, Refused>>,
        is_around_outage: bool,
    ) -> Vec<Refused> {
        let version = listing.version;
        if listing.unread_after.is_none() || version < self.targets_version {
            return self.apply_list(now, version, all, is_around_outage);
        }
        let all = self.delisted_targets.filter_list(version, all);
        let covers = |name: &str| listing.covers(name);
        let refused = self
            .target_table
            .list_covered(now, all, is_around_outage, covers);
        self.note_changes(self.targets_version);
        refused
    }

    /// Applies the changes in the list up to a version.
    pub fn apply_list_changes(
        &mut self,
        now: Duration,
        version: Version,
        changes: ReportedChanges,
        is_around_outage: bool,
    ) {
        self.targets_version = version;
        // Includes targets that were never known here: peers may know them.
        let listed = changes.listed.iter().map(|listed| &listed.target);
        let touched: Vec<TargetId> = listed.chain(&changes.gone).cloned().collect();
        self.list_changes.note(version, touched);
        for target in changes.gone {
            if self.target_table.is_listed(&target) {
                self.target_table.unlist(now, &target, is_around_outage);
            }
        }
        for listed in changes.listed {
            if self.delisted_targets.accept_entry(version, &listed.target) {
                self.target_table.list(now, listed);
            }
        }
        self.note_changes(version);
    }

    /// Records the targets touched by the latest updates as changes of a version of the list.
    pub fn note_changes(&mut self, version: Version) {
        let touched = self.target_table.take_touched();
        self.list_changes.note(version, touched);
    }

    /// Applies a peer's report that a target was gone at a version; returns whether it was news. It
    /// is ignored if this instance's list is as new as that and names the target, which has come
    /// back since.
    pub fn apply_delisting(
        &mut self,
        now: Duration,
        identity: &TargetIdentity,
        version: Version,
    ) -> bool {
        if version <= self.targets_version && self.target_table.is_listed(&identity.target) {
            return false;
        }
        self.delisted_targets
            .note_delisted(&identity.target, version);
        self.target_table.delist(now, identity)
    }

    /// Returns the recently delisted targets, to report to peers, with the versions at which they
    /// were gone.
    #[must_use]
    pub fn delisted(&self, now: Duration) -> Vec<(TargetIdentity, Version)> {
        let with_version = |identity: TargetIdentity| {
            let reported = self.delisted_targets.delisted_at(&identity.target);
            // A target that this instance's list does not name is gone at the list's version.
            let own = if self.target_table.is_listed(&identity.target) {
                0
            } else {
                self.targets_version
            };
            (identity, reported.max(own))
        };
        let delisted = self.target_table.delisted(now).into_iter();
        delisted.map(with_version).collect()
    }
}
