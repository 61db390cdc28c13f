//! `limits` remembers which targets name a limit of calls.

use damaskstile_core::prelude::*;

use super::Book;
use crate::known::Known;
use crate::limit_word::LimitWord;
use crate::named_limit::NamedLimit;

/// Time for which peers are told of a limit that was named, or of its end.
const LIMIT_NEWS: Duration = Duration::from_secs(15);
/// Limits that are told in one digest: some 40 bytes each.
const LIMITS_TOLD_MAX: usize = 16;
/// Age by which a peer's word must be newer to replace one that says the same. The time on the way
/// is not known, so words that are passed on look newer than they are.
const SAME_WORD_SLACK: Duration = Duration::from_millis(500);

impl Book {
    /// Takes in what an answer to a call says of its target's limit; returns the limit where that is
    /// news.
    ///
    /// A limit is over once a call that was sent after it was named is answered without one. An
    /// answer to an earlier call may have been on its way for long.
    pub fn heed_limit(
        &mut self,
        now: Duration,
        identity: &TargetIdentity,
        sent_at: Duration,
        named: NamedLimit,
    ) -> Option<LimitWord> {
        let known = self.of_incarnation(&identity.target, identity.incarnation)?;
        let word = match named {
            NamedLimit::CallsPerS(calls_per_s) => LimitWord {
                calls_per_s: Some(calls_per_s),
                at: now,
            },
            NamedLimit::Absent if known.limit.is_some_and(|limit| sent_at > limit.at) => {
                LimitWord {
                    calls_per_s: None,
                    at: sent_at,
                }
            }
            NamedLimit::Absent | NamedLimit::Unreadable => return None,
        };
        let is_news = known.take_limit(now, word);
        self.limited.insert(identity.target.clone());
        is_news.then_some(word)
    }

    /// Takes in what a peer tells of a target's limit; returns whether it is news.
    pub fn hear_limit(
        &mut self,
        now: Duration,
        identity: &TargetIdentity,
        word: LimitWord,
    ) -> bool {
        let Some(known) = self.of_incarnation(&identity.target, identity.incarnation) else {
            return false;
        };
        let is_newer = match known.limit {
            Some(limit) if word.is_like(&limit) => word.at > limit.at + SAME_WORD_SLACK,
            Some(limit) => word.at > limit.at,
            None => word.calls_per_s.is_some(),
        };
        if !is_newer {
            return false;
        }
        let is_news = known.take_limit(now, word);
        self.limited.insert(identity.target.clone());
        is_news
    }

    /// Returns the limits to tell peers: those that were named lately, and those that ended, the
    /// newest first.
    #[must_use]
    pub fn limits_to_tell(&self, now: Duration) -> Vec<(TargetIdentity, LimitWord)> {
        let told = |known: &Known| {
            let word = known.limit?;
            let since = match word.calls_per_s {
                Some(_) => word.at,
                None => known.limit_since,
            };
            let is_news = now.saturating_sub(since) < LIMIT_NEWS;
            is_news.then(|| (known.listed.identity(), word))
        };
        let limited = self.limited.iter();
        let limited = limited.filter_map(|target| self.targets.get(target));
        let mut told: Vec<_> = limited.filter_map(told).collect();
        told.sort_by_key(|(_, word)| std::cmp::Reverse(word.at));
        told.truncate(LIMITS_TOLD_MAX);
        told
    }

    /// Returns the number of targets that name a limit.
    #[must_use]
    pub fn limited_targets(&self) -> usize {
        let known = self.limited.iter();
        let known = known.filter_map(|target| self.targets.get(target));
        let limits = known.filter_map(|known| known.limit?.calls_per_s);
        limits.count()
    }
}
