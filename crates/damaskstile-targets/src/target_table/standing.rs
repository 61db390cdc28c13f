//! Entries that state an earlier start than the newest known one of their target.
//!
//! Such an entry is usually late: a target that restarted writes its own entry again within a
//! heartbeat interval. The list drops entries that nobody writes after three intervals of silence,
//! so an entry that stands for longer is written by a living target. The later start was then
//! wrong: another writer stated it, or the target's clock was ahead.

use damaskstile_core::prelude::*;

use super::TargetTable;
use crate::listed::Listed;

/// The last entry of a target, which states an earlier start than the newest known one.
#[derive(Debug, Clone)]
pub(super) struct StandingEntry {
    listed: Listed,
    /// Since when the entry has been the target's last one.
    since: Duration,
    /// Whether the entry was listed before a peer reported the departure of a later incarnation.
    is_before_report: bool,
}

impl TargetTable {
    /// Applies entries that state an earlier start than the newest known one and have been the last
    /// of their targets for the configured time. Returns their identities.
    ///
    /// Around an outage of the list nobody can correct a late entry, so the time starts anew. An
    /// instance that does not watch the list itself may lack the entry of a later incarnation that
    /// peers report, so there the time of an entry listed before the report starts anew as well.
    pub fn apply_standing(
        &mut self,
        now: Duration,
        is_around_outage: bool,
        is_watching: bool,
    ) -> Vec<TargetIdentity> {
        for entry in self.standing.values_mut() {
            if is_around_outage || (entry.is_before_report && !is_watching) {
                entry.since = now;
            }
        }
        let wait = self.options.standing_entry_wait;
        let is_due = |entry: &StandingEntry| now.saturating_sub(entry.since) >= wait;
        let due: Vec<Listed> = self
            .standing
            .extract_if(.., |_, entry| is_due(entry))
            .map(|(_, entry)| entry.listed)
            .collect();
        let mut applied = Vec::new();
        for listed in due {
            let identity = listed.identity();
            if let Some(wrong) = self.newest(&identity.target) {
                self.wrong_starts.insert(identity.target.clone(), wrong);
            }
            self.departures.forget(&identity.target);
            self.remove_state(now, &identity.target);
            self.list(now, listed);
            applied.push(identity);
        }
        applied
    }

    /// Records an entry that states an earlier start than the newest known one.
    pub(super) fn note_standing(&mut self, now: Duration, listed: Listed) {
        let known = self.standing.get(&listed.target);
        let since = known
            .filter(|known| known.listed.is_like(&listed))
            .map_or(now, |known| known.since);
        let entry = StandingEntry {
            listed,
            since,
            is_before_report: false,
        };
        self.standing.insert(entry.listed.target.clone(), entry);
    }

    /// Records that a later incarnation than that of a target's last entry is reported as leaving
    /// or gone.
    pub(super) fn note_later_report(&mut self, now: Duration, target: &str) {
        let standing = self.standing.remove(target).map(|entry| entry.listed);
        if let Some(listed) = standing.or_else(|| self.last_entry(target)) {
            let entry = StandingEntry {
                listed,
                since: now,
                is_before_report: true,
            };
            self.standing.insert(target.to_owned(), entry);
        }
    }

    /// Returns the entry of a listed target if it is valid and states a start.
    fn last_entry(&self, target: &str) -> Option<Listed> {
        let state = self.targets.get(target)?;
        let is_usable = state.missing_since.is_none()
            && self.is_sound(state)
            && state.listed.incarnation.is_some();
        is_usable.then(|| state.listed.clone())
    }

    /// Tells whether an incarnation is older than the newest known one, or states a start that
    /// turned out to be wrong.
    pub(super) fn is_outdated(&self, identity: &TargetIdentity) -> bool {
        let wrong = self.wrong_starts.get(&identity.target);
        identity.incarnation < self.newest(&identity.target)
            || wrong.is_some_and(|wrong| identity.incarnation == Some(*wrong))
    }
}
