//! Crash history of a single content.

use damaskstile_core::prelude::*;

use crate::fingerprint::Fingerprint;
use crate::suspect_word::SuspectWord;
use crate::target_end::TargetEnd;

/// Time for which a crash counts against a content.
pub(crate) const END_MEMORY: Duration = Duration::from_mins(10);
/// Time for which a completed run of a content is remembered. Reports that arrive within it of
/// crashes noticed before the completion are ignored.
const CLEARED_MEMORY: Duration = Duration::from_secs(30);
/// Crashes closer together than this count as one. A cause that takes down many targets at once,
/// such as a power loss, also hits several targets that run the same content.
const TOGETHER: Duration = Duration::from_millis(250);
/// Crashes from which on a content is reported to all peers, not only to the instances that collect
/// its crashes. Tens of contents run on each target that crashes, but few of them also run on the
/// next one.
const TOLD_FROM: usize = 2;
/// Maximum number of crashes stored per content.
const ENDS_MAX: usize = 16;
/// Stored crashes from which on only a crash apart in time from all others is added. Otherwise a
/// quick series would fill the list with crashes that count as one, and the content would never be
/// quarantined.
const TOGETHER_MAX: usize = 8;

/// `Suspect` is the crash history of a content that ran on targets when they crashed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspect {
    /// Client account whose calls have this content.
    pub(crate) account: AccountId,
    /// Crashes of targets that ran it, since it last ran to completion.
    pub(crate) ends: Vec<TargetEnd>,
    /// When it last ran to completion.
    pub(crate) cleared_at: Option<Duration>,
    /// When the history last changed.
    pub(crate) changed_at: Duration,
    /// Whether changes are reported to all peers. Once set, this includes that the content was
    /// cleared.
    pub(crate) is_told: bool,
}

impl Suspect {
    pub(crate) fn new(account: &str) -> Self {
        Self {
            account: account.to_owned(),
            ..Self::default()
        }
    }

    /// Records a crash. Returns whether it is a new one that counts.
    pub(crate) fn note_end(&mut self, now: Duration, end: TargetEnd) -> bool {
        let is_outdated = self.cleared_at.is_some_and(|cleared| end.at <= cleared);
        if is_outdated || now.saturating_sub(end.at) >= END_MEMORY {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.is_same(&end)) {
            // Transit times make a crash appear younger with every relay, so the earliest time is
            // kept.
            known.at = known.at.min(end.at);
            return false;
        }
        let mut ends = self.ends.iter();
        let is_apart = ends.all(|known| known.at.abs_diff(end.at) >= TOGETHER);
        let most = if is_apart { ENDS_MAX } else { TOGETHER_MAX };
        if self.ends.len() >= most {
            return false;
        }
        self.ends.push(end);
        self.changed_at = now;
        self.is_told |= self.ends.len() >= TOLD_FROM;
        true
    }

    /// Records that the content ran to completion at `at`. Returns whether this removed any crash
    /// from the history.
    pub(crate) fn clear(&mut self, now: Duration, at: Duration) -> bool {
        let before = self.ends.len();
        self.ends.retain(|end| end.at > at);
        self.cleared_at = self.cleared_at.max(Some(at));
        let is_news = self.ends.len() < before;
        if is_news {
            self.changed_at = now;
        }
        is_news
    }

    /// Drops expired entries. Returns whether any entry is left.
    pub(crate) fn forget_old(&mut self, now: Duration) -> bool {
        self.ends
            .retain(|end| now.saturating_sub(end.at) < END_MEMORY);
        let is_cleared = self
            .cleared_at
            .is_some_and(|at| now.saturating_sub(at) < CLEARED_MEMORY);
        is_cleared || !self.ends.is_empty()
    }

    /// Counts the crashes. A series in quick succession counts as one.
    pub(crate) fn count(&self) -> usize {
        let mut times: Vec<Duration> = self.ends.iter().map(|end| end.at).collect();
        times.sort_unstable();
        let mut count = 0;
        let mut last = None;
        for at in times {
            if last.is_none_or(|last| at.saturating_sub(last) >= TOGETHER) {
                count += 1;
                last = Some(at);
            }
        }
        count
    }

    /// Returns the time for which at least `ends` crashes still count.
    pub(crate) fn is_known_for(&self, now: Duration, ends: usize) -> Duration {
        let mut times: Vec<Duration> = self.ends.iter().map(|end| end.at).collect();
        times.sort_unstable();
        let last_needed = times.iter().rev().nth(ends.saturating_sub(1));
        last_needed.map_or(Duration::ZERO, |at| (*at + END_MEMORY).saturating_sub(now))
    }

    /// Returns the report of this history for peers.
    pub(crate) fn word(&self, now: Duration, fingerprint: Fingerprint) -> SuspectWord {
        let age = |at: Duration| now.saturating_sub(at);
        let ends = self.ends.iter();
        SuspectWord {
            fingerprint,
            account: self.account.clone(),
            ends: ends.map(|end| (end.target.clone(), age(end.at))).collect(),
            cleared_age: self.cleared_at.map(age),
        }
    }

    /// Returns whether every crash of the other content is also a crash of this one.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        let mut ends = other.ends.iter();
        ends.all(|end| self.ends.iter().any(|known| known.is_same(end)))
    }
}
