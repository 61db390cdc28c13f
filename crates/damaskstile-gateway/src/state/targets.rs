//! `targets` orders what the store and peers tell of targets by the versions of the list.

use damaskstile_core::prelude::*;
use damaskstile_targets::{Listed, Refused};

use super::State;

/// `ToldChanges` is what a peer says has changed in the list of targets.
#[derive(Debug, Clone, Default)]
pub struct ToldChanges {
    /// Entries that are new or differ.
    pub listed: Vec<Listed>,
    /// Names that the list no longer holds.
    pub gone: Vec<TargetId>,
}

impl State {
    /// Takes in the whole list of targets as it was at a version, unless a newer one is known: one
    /// that was asked for before may come late, over a full link. Returns the refused entries that
    /// are news.
    pub fn take_list(
        &mut self,
        now: Duration,
        version: Version,
        all: Vec<Result<Listed, Refused>>,
        is_around_outage: bool,
    ) -> Vec<Refused> {
        if version < self.targets_version {
            return Vec::new();
        }
        let all = self.target_words.take_list(version, all);
        self.targets_version = version;
        let refused = self.book.list_all(now, all, is_around_outage);
        self.book.take_touched();
        self.list_changes.restart(version);
        refused
    }

    /// Takes in what changed in the list up to a version.
    pub fn take_list_changes(
        &mut self,
        now: Duration,
        version: Version,
        changes: ToldChanges,
        is_around_outage: bool,
    ) {
        self.targets_version = version;
        // Also those that were never known here: peers may know them.
        let listed = changes.listed.iter().map(|listed| &listed.target);
        let told: Vec<TargetId> = listed.chain(&changes.gone).cloned().collect();
        self.list_changes.note(version, told);
        for target in changes.gone {
            if self.book.is_named(&target) {
                self.book.unlist(now, &target, is_around_outage);
            }
        }
        for listed in changes.listed {
            if self.target_words.take_entry(version, &listed.target) {
                self.book.list(now, listed);
            }
        }
        self.note_changes(version);
    }

    /// Remembers that what was taken in last changed up to a version of the list.
    pub fn note_changes(&mut self, version: Version) {
        let touched = self.book.take_touched();
        self.list_changes.note(version, touched);
    }

    /// Takes in a peer's word that a target was gone at a version; returns whether it is news. It
    /// is none where the own list, as new as that, names the target: it has come back since.
    pub fn take_vanished(
        &mut self,
        now: Duration,
        identity: &TargetIdentity,
        version: Version,
    ) -> bool {
        if version <= self.targets_version && self.book.is_named(&identity.target) {
            return false;
        }
        self.target_words.note_gone(&identity.target, version);
        self.book.vanish(now, identity)
    }

    /// Returns the targets that lately vanished from the list, to tell peers, with the versions at
    /// which they were gone.
    #[must_use]
    pub fn vanished(&self, now: Duration) -> Vec<(TargetIdentity, Version)> {
        let with_version = |identity: TargetIdentity| {
            let told = self.target_words.gone_at(&identity.target);
            // What the own list does not name is gone at its version.
            let own = if self.book.is_named(&identity.target) {
                0
            } else {
                self.targets_version
            };
            (identity, told.max(own))
        };
        let vanished = self.book.vanished(now).into_iter();
        vanished.map(with_version).collect()
    }
}
