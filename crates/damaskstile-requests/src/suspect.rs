//! Crash history of a single content.

use damaskstile_core::prelude::*;

use crate::fingerprint::Fingerprint;
use crate::suspect_report::SuspectReport;
use crate::target_crash::TargetCrash;

/// Time for which a crash counts against a content. A quarantined content is refused until too few
/// of its crashes are younger.
pub(crate) const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// Time for which a completed run of a content is remembered. Reports that arrive within it of
/// crashes noticed before the completion are ignored.
const COMPLETION_RETENTION: Duration = Duration::from_secs(30);
/// Crashes closer together than this count as one. A cause that takes down many targets at once,
/// such as a power loss, also hits several targets that run the same content.
const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(250);
/// Crashes from which on a content is reported to all peers, not only to the instances that collect
/// its crashes. Tens of contents run on each target that crashes, but few of them also run on the
/// next one.
const REPORT_TO_ALL_FROM_CRASHES: usize = 2;
/// Maximum number of crashes stored per content.
const CRASHES_MAX: usize = 16;
/// Stored crashes from which on only a crash apart in time from all others is added. Otherwise a
/// quick series would fill the list with crashes that count as one, and the content would never be
/// quarantined.
const BURST_CRASHES_MAX: usize = 8;

/// `Suspect` is the crash history of a content that ran on targets when they crashed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspect {
    /// Client account whose calls have this content.
    pub(crate) account: AccountId,
    /// Crashes of targets that ran it, since it last ran to completion.
    pub(crate) crashes: Vec<TargetCrash>,
    /// When it last ran to completion.
    pub(crate) cleared_at: Option<Duration>,
    /// Position of a part in its prompts: the farther back, the fewer calls have it.
    pub(crate) position: u32,
    /// When the history last changed.
    pub(crate) changed_at: Duration,
    /// Whether changes are reported to all peers. Once set, this includes that the content was
    /// cleared.
    pub(crate) is_reported_to_all: bool,
}

impl Suspect {
    pub(crate) fn new(account: &str) -> Self {
        Self {
            account: account.to_owned(),
            ..Self::default()
        }
    }

    /// Records a crash. Returns whether it is a new one that counts.
    pub(crate) fn note_crash(&mut self, now: Duration, crash: TargetCrash) -> bool {
        let is_outdated = self.cleared_at.is_some_and(|cleared| crash.at <= cleared);
        if is_outdated || now.saturating_sub(crash.at) >= CRASH_RETENTION {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.is_same(&crash)) {
            // Transit times make a crash appear younger with every relay, so the earliest time is
            // kept.
            known.at = known.at.min(crash.at);
            return false;
        }
        let mut crashes = self.crashes.iter();
        let is_separate = crashes.all(|known| known.at.abs_diff(crash.at) >= SAME_CAUSE_WINDOW);
        let most = if is_separate {
            CRASHES_MAX
        } else {
            BURST_CRASHES_MAX
        };
        if self.crashes.len() >= most {
            return false;
        }
        self.crashes.push(crash);
        self.changed_at = now;
        self.is_reported_to_all |= self.crashes.len() >= REPORT_TO_ALL_FROM_CRASHES;
        true
    }

    /// Records that the content ran to completion at `at`. Returns whether this removed any crash
    /// from the history.
    pub(crate) fn clear(&mut self, now: Duration, at: Duration) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        self.cleared_at = self.cleared_at.max(Some(at));
        let is_any_removed = self.crashes.len() < before;
        if is_any_removed {
            self.changed_at = now;
        }
        is_any_removed
    }

    /// Drops expired entries. Returns whether any entry is left.
    pub(crate) fn drop_expired(&mut self, now: Duration) -> bool {
        self.crashes
            .retain(|crash| now.saturating_sub(crash.at) < CRASH_RETENTION);
        let is_cleared = self
            .cleared_at
            .is_some_and(|at| now.saturating_sub(at) < COMPLETION_RETENTION);
        is_cleared || !self.crashes.is_empty()
    }

    /// Counts the crashes. A series in quick succession counts as one.
    pub(crate) fn count(&self) -> usize {
        count_series(self.crashes.iter().map(|crash| crash.at).collect())
    }

    /// Returns the time for which at least `crashes` crashes still count.
    pub(crate) fn time_with_crashes(&self, now: Duration, crashes: usize) -> Duration {
        let mut times: Vec<Duration> = self.crashes.iter().map(|crash| crash.at).collect();
        times.sort_unstable();
        let decisive = times.iter().rev().nth(crashes.saturating_sub(1));
        decisive.map_or(Duration::ZERO, |at| {
            (*at + CRASH_RETENTION).saturating_sub(now)
        })
    }

    /// Returns the report of this history for peers.
    pub(crate) fn report(&self, now: Duration, fingerprint: Fingerprint) -> SuspectReport {
        let age = |at: Duration| now.saturating_sub(at);
        let crashes = self.crashes.iter();
        SuspectReport {
            fingerprint,
            account: self.account.clone(),
            crashes: crashes
                .map(|crash| (crash.target.clone(), age(crash.at)))
                .collect(),
            cleared_age: self.cleared_at.map(age),
            position: self.position,
        }
    }

    /// Counts the crashes that none of the others has, as [`Self::count`] does.
    pub(crate) fn count_unexplained(&self, others: &[&Self]) -> usize {
        let crashes = self.crashes.iter();
        let unexplained = crashes.filter(|crash| {
            let mut known = others.iter().flat_map(|other| &other.crashes);
            !known.any(|known| known.is_same(crash))
        });
        count_series(unexplained.map(|crash| crash.at).collect())
    }

    /// Returns whether every crash of the other content is also a crash of this one.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        let mut crashes = other.crashes.iter();
        crashes.all(|crash| self.crashes.iter().any(|known| known.is_same(crash)))
    }
}

fn count_series(mut times: Vec<Duration>) -> usize {
    times.sort_unstable();
    let mut count = 0;
    let mut last = None;
    for at in times {
        if last.is_none_or(|last| at.saturating_sub(last) >= SAME_CAUSE_WINDOW) {
            count += 1;
            last = Some(at);
        }
    }
    count
}
