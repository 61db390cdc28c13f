//! Rebuilds the ledger after the store was restored from an older copy of itself.
//!
//! Everything written after the copy was made is lost, except for what instances remember: grants
//! that are being spent are missing from the copy and would be granted again. So no instance writes
//! on such a stale copy. An instance that remembers the newest ledger writes that in place of the
//! copy, under the store's new history, and nothing more is granted until the instances listed in
//! it have reported their holdings.

use damaskstile_core::prelude::*;

use super::Holder;
use super::round::Round;
use crate::ledger::Ledger;
use crate::stamp::Stamp;

/// Time after the stale copy was first seen during which instances collect which ledger versions
/// their peers remember.
const GATHER_TIME: Duration = Duration::from_millis(700);
/// Longest time for which an instance waits for a peer that remembers a newer ledger.
const GATHER_TIME_MAX: Duration = Duration::from_secs(3);
/// Longest time for which instances that have not reported their holdings keep the rest from being
/// granted.
const CONFIRM_TIME_MAX: Duration = Duration::from_secs(3);
/// Interval at which to check whether another instance has rebuilt the ledger.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// State of the rebuild of the ledger after the store was restored from an older copy.
#[derive(Debug, Default)]
pub(super) struct Restoring {
    /// Current history of the store.
    pub(super) history: History,
    /// Latest history in which the ledger contains this instance's holdings.
    confirmed: History,
    /// Number of the first report made in the current history.
    confirm_number: Option<u64>,
    /// Newest ledger version that any peer reported to remember.
    newest_peer_version: Version,
    /// The stale copy of the ledger, with its version in the store.
    stale_copy: Option<(Version, Ledger)>,
    /// Time at which the stale copy was first seen. Until then, peers that remember a newer ledger
    /// could not write either.
    stale_copy_at: Duration,
    checked_at: Duration,
    /// Time at which a ledger of the current history was first seen.
    rebuilt_seen_at: Option<Duration>,
}

impl Restoring {
    /// Returns whether the ledger may lack this instance's holdings.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.confirmed < self.history
    }

    /// Notes that a report is made.
    pub(super) fn note_report(&mut self, number: u64) {
        if self.is_unconfirmed() {
            self.confirm_number.get_or_insert(number);
        }
    }

    /// Notes which report took effect.
    pub(super) fn note_committed(&mut self, number: u64) {
        if self.confirm_number.is_some_and(|first| number >= first) {
            self.confirmed = self.history;
        }
    }

    /// Notes that a ledger of the current history was seen.
    pub(super) fn note_rebuilt(&mut self, now: Duration) {
        self.stale_copy = None;
        self.rebuilt_seen_at.get_or_insert(now);
    }

    /// Returns whether it is time to check if another instance has rebuilt the ledger.
    pub(super) fn needs_check(&self, now: Duration) -> bool {
        self.stale_copy.is_some() && now.saturating_sub(self.checked_at) >= CHECK_INTERVAL
    }

    fn may_rebuild(&self, now: Duration, known_version: Version) -> bool {
        let waited = now.saturating_sub(self.stale_copy_at);
        let is_newest = known_version >= self.newest_peer_version;
        (waited >= GATHER_TIME && is_newest) || waited >= GATHER_TIME_MAX
    }
}

impl Holder {
    /// Returns the store's history, as far as is known.
    #[must_use]
    pub fn store_history(&self) -> History {
        self.restoring.history
    }

    /// Sets the store's history, as stated by the store or a peer; returns whether it was new.
    pub fn set_store_history(&mut self, history: History) -> bool {
        if history <= self.restoring.history {
            return false;
        }
        let has_grants = self.committed_number > 0;
        self.restoring = Restoring {
            history,
            confirmed: if has_grants {
                self.restoring.confirmed
            } else {
                history
            },
            newest_peer_version: self.restoring.newest_peer_version,
            ..Restoring::default()
        };
        // The outstanding report was made in the previous history.
        self.outstanding = None;
        self.round_at = None;
        self.is_in_doubt |= self.seen_at.is_some();
        true
    }

    /// Notes which ledger version a peer remembers.
    pub fn note_peer_ledger_version(&mut self, version: Version) {
        self.restoring.newest_peer_version = self.restoring.newest_peer_version.max(version);
    }

    /// Keeps a ledger of an earlier history as a stale copy; returns whether it is one.
    pub(super) fn keep_stale_copy(
        &mut self,
        now: Duration,
        version: Version,
        ledger: &Ledger,
    ) -> bool {
        // A store without a ledger is handled like a stale copy unless it is in its first history:
        // either the fleet starts for the first time, or the copy predates the first ledger.
        let is_copy = ledger.history < self.restoring.history;
        if is_copy {
            if self.restoring.stale_copy.is_none() {
                self.restoring.stale_copy_at = now;
            }
            self.restoring.stale_copy = Some((version, ledger.clone()));
            self.restoring.checked_at = now;
            self.is_in_doubt = false;
        }
        is_copy
    }

    pub(super) fn has_stale_copy(&self) -> bool {
        self.restoring.stale_copy.is_some()
    }

    /// Returns the write that rebuilds the ledger, once this instance may make it.
    pub(super) fn rebuild_ledger(&mut self, now: Duration, stamp: &Stamp) -> Option<Round> {
        if !self.restoring.may_rebuild(now, self.ledger_version) {
            return None;
        }
        let (version, stale_copy) = self.restoring.stale_copy.as_ref()?;
        let version = *version;
        let remembers = self.seen_at.is_some();
        let base = if remembers && self.ledger.is_after(stale_copy) {
            &self.ledger
        } else {
            stale_copy
        };
        if self.catalogue_version < base.catalogue_version {
            return None;
        }
        let mut ledger = base.rebuilt_in(self.restoring.history);
        if !remembers {
            ledger.write_off_lost(&self.prepaid_tokens);
        }
        let listed = ledger.holders.get(&self.identity.instance);
        let listed = listed.map_or(0, |entry| entry.incarnation);
        if listed != self.identity.incarnation {
            self.follows = listed;
        }
        self.round_at = Some(now);
        Some(self.make_round(now, stamp, ledger, version))
    }

    /// Allows the rest to be granted again once the instances that have not reported their holdings
    /// have had enough time to.
    pub(super) fn open_pool(&self, now: Duration, ledger: &mut Ledger) {
        let rebuilt_seen_at = self.restoring.rebuilt_seen_at;
        if rebuilt_seen_at.is_some_and(|at| now.saturating_sub(at) >= CONFIRM_TIME_MAX) {
            ledger.confirm_all();
        }
    }
}
