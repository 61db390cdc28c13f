//! `limits` remembers which targets name a limit of calls.

use damaskstile_core::prelude::*;

use super::Book;
use crate::limit_word::LimitWord;
use crate::named_limit::NamedLimit;

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
        let known = self.of_incarnation(identity)?;
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
        let is_news = !word.is_like(known.limit.as_ref());
        known.limit = Some(word);
        is_news.then_some(word)
    }

    /// Returns the number of targets that name a limit.
    #[must_use]
    pub fn limited_targets(&self) -> usize {
        let known = self.targets.values();
        let limits = known.filter_map(|known| known.limit?.calls_per_s);
        limits.count()
    }
}
