//! `suspect` is a content under which targets ended.

use damaskstile_core::prelude::*;

use crate::fingerprint::Fingerprint;
use crate::suspect_word::SuspectWord;
use crate::target_end::TargetEnd;

/// Time for which an end counts. Until the ends under a content are that old it is refused.
pub(crate) const END_MEMORY: Duration = Duration::from_mins(10);
/// Time for which it is remembered that a content ran to its end, so that ends that were noticed
/// before and are heard of late do not count.
const CLEARED_MEMORY: Duration = Duration::from_secs(30);
/// Time within which ends count as one. What takes down many targets at once, as a loss of power
/// does, ends them under all that runs there, also at several targets under the same content.
const TOGETHER: Duration = Duration::from_millis(250);
/// Ends from which on all peers are told of a content, and not only those that collect the ends
/// under it. Tens of contents run at each target that ends, and few of them at the next.
const TOLD_FROM: usize = 2;
/// Ends that are remembered of one content.
const ENDS_MAX: usize = 16;
/// Ends from which on only those are remembered that come apart from all others. Else a quick series
/// would fill the memory with ends that count as one, and the content would never be refused.
const TOGETHER_MAX: usize = 8;

/// `Suspect` is a content under which targets ended.
#[derive(Debug, Clone, Default)]
pub(crate) struct Suspect {
    /// Client account whose calls ask for it.
    pub(crate) account: AccountId,
    /// Ends of targets under it since it last ran to its end.
    pub(crate) ends: Vec<TargetEnd>,
    /// When it last ran to its end.
    pub(crate) cleared_at: Option<Duration>,
    /// When this was last news.
    pub(crate) changed_at: Duration,
    /// Whether all peers are told: of its ends, and then also that it was cleared.
    pub(crate) is_told: bool,
}

impl Suspect {
    pub(crate) fn new(account: &str) -> Self {
        Self {
            account: account.to_owned(),
            ..Self::default()
        }
    }

    /// Takes in an end; returns whether it is news.
    pub(crate) fn note_end(&mut self, now: Duration, end: TargetEnd) -> bool {
        let is_outdated = self.cleared_at.is_some_and(|cleared| end.at <= cleared);
        if is_outdated || now.saturating_sub(end.at) >= END_MEMORY {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.is_same(&end)) {
            // On its way from peer to peer an end seems to become younger.
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

    /// Takes in that a call for it ran to its end; returns whether it was under suspicion.
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

    /// Forgets what is too old; returns whether anything is left.
    pub(crate) fn forget_old(&mut self, now: Duration) -> bool {
        self.ends
            .retain(|end| now.saturating_sub(end.at) < END_MEMORY);
        let is_cleared = self
            .cleared_at
            .is_some_and(|at| now.saturating_sub(at) < CLEARED_MEMORY);
        is_cleared || !self.ends.is_empty()
    }

    /// Counts the ends, those that came together as one.
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

    /// Returns the time for which so many of the ends still count.
    pub(crate) fn is_known_for(&self, now: Duration, ends: usize) -> Duration {
        let mut times: Vec<Duration> = self.ends.iter().map(|end| end.at).collect();
        times.sort_unstable();
        let last_needed = times.iter().rev().nth(ends.saturating_sub(1));
        last_needed.map_or(Duration::ZERO, |at| (*at + END_MEMORY).saturating_sub(now))
    }

    /// Returns what to tell peers of it.
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

    /// Tells whether all ends under another content were also ends under this one.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        let mut ends = other.ends.iter();
        ends.all(|end| self.ends.iter().any(|known| known.is_same(end)))
    }
}
