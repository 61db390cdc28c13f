//! `restoring` begins the ledger anew where the store came back from an older copy of itself.
//!
//! What was written since the copy is gone, but for what instances remember: grants that are being
//! spent are missing there, and would be handed out again. So nobody writes on such a copy. Whoever
//! remembers the newest ledger writes that in its place, under the history that the store is in now,
//! and nothing more is granted until those that it lists have said what they hold.

use damaskstile_core::prelude::*;

use super::Holder;
use super::round::Round;
use crate::ledger::Ledger;
use crate::stamp::Stamp;

/// Time after the store's return in which peers tell which ledger they remember.
const GATHER_TIME: Duration = Duration::from_millis(700);
/// Time after which an instance no longer waits for one that remembers a newer ledger.
const GATHER_TIME_MAX: Duration = Duration::from_secs(3);
/// Time for which instances that have not said what they hold keep the rest from being granted.
const CONFIRM_TIME_MAX: Duration = Duration::from_secs(3);
/// Time between two looks at whether another instance has begun the ledger anew.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);

/// `Restoring` is what an instance knows of the store's return from an older copy.
#[derive(Debug, Default)]
pub(super) struct Restoring {
    /// History that the store is in.
    pub(super) history: History,
    /// History in which the ledger has what this instance holds.
    confirmed: History,
    /// First report that was made in this history.
    confirm_number: Option<u64>,
    /// Newest version of the ledger that any peer said it remembers.
    told_version: Version,
    /// The ledger as the copy has it, with its version there.
    copy: Option<(Version, Ledger)>,
    /// When it was first seen. Peers that remember a newer one could not write before either.
    copy_at: Duration,
    looked_at: Duration,
    /// When a ledger of this history was first seen.
    begun_at: Option<Duration>,
}

impl Restoring {
    /// Tells whether the ledger may lack what this instance holds.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.confirmed < self.history
    }

    /// Notes that a report is made.
    pub(super) fn note_report(&mut self, number: u64) {
        if self.is_unconfirmed() {
            self.confirm_number.get_or_insert(number);
        }
    }

    /// Notes which report stands in the ledger.
    pub(super) fn note_committed(&mut self, number: u64) {
        if self.confirm_number.is_some_and(|first| number >= first) {
            self.confirmed = self.history;
        }
    }

    /// Notes a ledger of this history.
    pub(super) fn note_begun(&mut self, now: Duration) {
        self.copy = None;
        self.begun_at.get_or_insert(now);
    }

    /// Tells whether to look if another instance has begun the ledger anew.
    pub(super) fn needs_look(&self, now: Duration) -> bool {
        self.copy.is_some() && now.saturating_sub(self.looked_at) >= LOOK_INTERVAL
    }

    fn may_begin(&self, now: Duration, known_version: Version) -> bool {
        let waited = now.saturating_sub(self.copy_at);
        let is_newest = known_version >= self.told_version;
        (waited >= GATHER_TIME && is_newest) || waited >= GATHER_TIME_MAX
    }
}

impl Holder {
    /// Returns the history that the store is in, as far as is known.
    #[must_use]
    pub fn store_history(&self) -> History {
        self.restoring.history
    }

    /// Takes in which history the store is in, by its own word or a peer's; returns whether that is
    /// news.
    pub fn enter_history(&mut self, history: History) -> bool {
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
            told_version: self.restoring.told_version,
            ..Restoring::default()
        };
        // The report that is under way knows nothing of it.
        self.outstanding = None;
        self.round_at = None;
        self.is_in_doubt |= self.seen_at.is_some();
        true
    }

    /// Takes in which version of the ledger a peer remembers.
    pub fn hear_ledger_version(&mut self, version: Version) {
        self.restoring.told_version = self.restoring.told_version.max(version);
    }

    /// Keeps a ledger of an earlier history as the copy that it is; returns whether it is one.
    pub(super) fn take_copy(&mut self, now: Duration, version: Version, ledger: &Ledger) -> bool {
        // Where there is none, a fleet starts for the first time, or the copy is older than that.
        let is_copy = ledger.history < self.restoring.history;
        if is_copy {
            if self.restoring.copy.is_none() {
                self.restoring.copy_at = now;
            }
            self.restoring.copy = Some((version, ledger.clone()));
            self.restoring.looked_at = now;
            self.is_in_doubt = false;
        }
        is_copy
    }

    pub(super) fn has_copy(&self) -> bool {
        self.restoring.copy.is_some()
    }

    /// Returns the write that begins the ledger anew, once it is this instance's to make.
    pub(super) fn begin_anew(&mut self, now: Duration, stamp: &Stamp) -> Option<Round> {
        if !self.restoring.may_begin(now, self.ledger_version) {
            return None;
        }
        let (version, copy) = self.restoring.copy.as_ref()?;
        let version = *version;
        let remembers = self.seen_at.is_some();
        let base = if remembers && self.ledger.is_after(copy) {
            &self.ledger
        } else {
            copy
        };
        if self.catalogue_version < base.catalogue_version {
            return None;
        }
        let mut ledger = base.begun_in(self.restoring.history);
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

    /// Has the rest be granted again once those that have not said what they hold had the time to.
    pub(super) fn open_pool(&self, now: Duration, ledger: &mut Ledger) {
        let begun_at = self.restoring.begun_at;
        if begun_at.is_some_and(|at| now.saturating_sub(at) >= CONFIRM_TIME_MAX) {
            ledger.confirm_all();
        }
    }
}
