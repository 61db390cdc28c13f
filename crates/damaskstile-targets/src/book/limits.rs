//! Tracks the call limits that targets advertise.

use damaskstile_core::prelude::*;

use super::Book;
use crate::known::Known;
use crate::limit_word::LimitWord;
use crate::named_limit::NamedLimit;

/// Time for which an advertised limit, or its end, is reported to peers.
const LIMIT_NEWS: Duration = Duration::from_secs(15);
/// Limits reported in one digest, at some 40 bytes each.
const LIMITS_TOLD_MAX: usize = 16;
/// Time by which a peer's report must be newer to replace one with the same limit. The transmission
/// time is unknown, so relayed reports look newer than they are.
const SAME_WORD_SLACK: Duration = Duration::from_millis(500);

impl Book {
    /// Applies what the answer to a call says of its target's limit; returns the limit if it
    /// changed.
    ///
    /// A limit ends once a call that was sent after the limit was last advertised is answered
    /// without one. The answer to an earlier call may have been delayed.
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

    /// Applies a peer's report on a target's limit; returns whether the limit changed.
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

    /// Returns the limits to report to peers, newest first: those that were advertised recently,
    /// and those that ended recently.
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

    /// Returns the number of targets that advertise a limit.
    #[must_use]
    pub fn limited_targets(&self) -> usize {
        let known = self.limited.iter();
        let known = known.filter_map(|target| self.targets.get(target));
        let limits = known.filter_map(|known| known.limit?.calls_per_s);
        limits.count()
    }
}
