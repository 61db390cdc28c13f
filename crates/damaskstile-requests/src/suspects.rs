//! `suspects` finds the contents that end the targets which run them.

use std::cmp::Reverse;

use damaskstile_core::prelude::*;

use crate::content::Content;
use crate::fingerprint::Fingerprint;
use crate::suspect::Suspect;
use crate::suspect_word::SuspectWord;
use crate::target_end::TargetEnd;
use crate::verdicts::Verdicts;

/// Ends of targets under a content from which on it is refused. One or two befall any call that
/// runs where something else ends a target.
pub const ENDS_LIMIT: usize = 3;
/// Contents that are remembered: what ran at some tens of targets that end together.
const SUSPECTS_MAX: usize = 512;
/// Time for which peers are told what is new of a content. Those that are refused are told of as
/// long as they are, so that an instance that starts knows them with the first digests.
const TOLD_FOR: Duration = Duration::from_secs(5);
/// Contents told of at a time, some two kilobytes.
const TOLD_MAX: usize = 24;

/// `Suspects` finds the contents that end the targets which run them.
///
/// Attempts are limited for each call, but callers ask again under other ids and at other instances,
/// so a content that ends every target which begins to run it takes down one after the other, with
/// all that runs there. It shows as one content under the ends of several targets. Therefore ends
/// are counted by content and told to all instances.
///
/// Some tens of other contents run at each target that ends. What tells them apart: they run to
/// their end elsewhere, which clears them; and a content is not held for the cause where all the
/// ends under it were also under one that is refused and has more.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    known: BTreeMap<Fingerprint, Suspect>,
    barred: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Takes in that a target ended while it ran a content.
    pub fn note_end(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        account: &str,
        target: TargetIdentity,
    ) -> Verdicts {
        let suspect = self.known.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(account));
        if !suspect.note_end(now, TargetEnd { target, at: now }) {
            return Verdicts::default();
        }
        self.judge(now, fingerprint)
    }

    /// Takes in that a content ran to its end at a target that lives.
    pub fn note_success(&mut self, now: Duration, content: &Content<'_>) -> Verdicts {
        if self.known.is_empty() {
            return Verdicts::default();
        }
        let outlined = Fingerprint::range_of(Fingerprint::outline_of(content));
        if self.known.range(outlined).next().is_none() {
            return Verdicts::default();
        }
        let fingerprint = Fingerprint::of(content);
        let suspect = self.known.get_mut(&fingerprint);
        if suspect.is_some_and(|suspect| suspect.clear(now, now)) {
            self.judge(now, fingerprint)
        } else {
            Verdicts::default()
        }
    }

    /// Returns for how long a content is refused; `None` where it is not.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_requests::{Content, Fingerprint, Suspects};
    /// let content = Content { account: "a", method: "GET", host: "h", path: "/", body: b"" };
    /// let mut suspects = Suspects::default();
    /// for second in 1..=3 {
    ///     let (now, target) = (Duration::from_secs(second), second.to_string());
    ///     assert_eq!(suspects.barred_for(now, &content), None);
    ///     let target = TargetIdentity::new(&target, None);
    ///     suspects.note_end(now, Fingerprint::of(&content), "a", target);
    /// }
    /// assert!(suspects.barred_for(Duration::from_secs(4), &content).is_some());
    /// ```
    #[must_use]
    pub fn barred_for(&self, now: Duration, content: &Content<'_>) -> Option<Duration> {
        if self.barred.is_empty() {
            return None;
        }
        // Most calls are told apart without a look at their bodies.
        let outline = Fingerprint::outline_of(content);
        self.barred.range(Fingerprint::range_of(outline)).next()?;
        let fingerprint = Fingerprint::of(content);
        if !self.barred.contains(&fingerprint) {
            return None;
        }
        let suspect = self.known.get(&fingerprint)?;
        let left = suspect.is_known_for(now, ENDS_LIMIT);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Takes in what a peer tells.
    pub fn hear(&mut self, now: Duration, word: SuspectWord) -> Verdicts {
        if word.ends.is_empty() && !self.known.contains_key(&word.fingerprint) {
            return Verdicts::default();
        }
        let suspect = self.known.entry(word.fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(&word.account));
        let mut is_news = word
            .cleared_age
            .is_some_and(|age| suspect.clear(now, now.saturating_sub(age)));
        for (target, age) in word.ends {
            let at = now.saturating_sub(age);
            is_news |= suspect.note_end(now, TargetEnd { target, at });
        }
        if is_news {
            self.judge(now, word.fingerprint)
        } else {
            Verdicts::default()
        }
    }

    /// Returns what to tell all peers now, the worst first.
    #[must_use]
    pub fn told(&self, now: Duration) -> Vec<SuspectWord> {
        let is_told = |fingerprint: &Fingerprint, suspect: &Suspect| {
            let is_new = now.saturating_sub(suspect.changed_at) < TOLD_FOR;
            (is_new && suspect.is_told) || self.barred.contains(fingerprint)
        };
        let known = self.known.iter();
        let mut told: Vec<(&Fingerprint, &Suspect)> = known
            .filter(|(fingerprint, suspect)| is_told(fingerprint, suspect))
            .collect();
        told.sort_by_key(|(_, suspect)| Reverse((suspect.ends.len(), suspect.changed_at)));
        told.truncate(TOLD_MAX);
        told.into_iter()
            .map(|(fingerprint, suspect)| suspect.word(now, *fingerprint))
            .collect()
    }

    /// Returns what is known of a content, for those who collect the ends under it.
    #[must_use]
    pub fn word(&self, now: Duration, fingerprint: &Fingerprint) -> Option<SuspectWord> {
        let suspect = self.known.get(fingerprint)?;
        Some(suspect.word(now, *fingerprint))
    }

    /// Returns the contents known, and those of them that are refused.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.known.len(), self.barred.len())
    }

    /// Returns the client account that asks for a content, and the targets that ended under it.
    #[must_use]
    pub fn ends_of(&self, fingerprint: &Fingerprint) -> Option<(&AccountId, usize)> {
        let suspect = self.known.get(fingerprint)?;
        Some((&suspect.account, suspect.ends.len()))
    }

    /// Finds out anew which contents are refused, after news of one.
    fn judge(&mut self, now: Duration, news: Fingerprint) -> Verdicts {
        self.known.retain(|_, suspect| suspect.forget_old(now));
        while self.known.len() > SUSPECTS_MAX {
            self.forget_one();
        }
        let before = std::mem::take(&mut self.barred);
        let mut candidates: Vec<(usize, &Fingerprint, &Suspect)> = self
            .known
            .iter()
            .map(|(fingerprint, suspect)| (suspect.count(), fingerprint, suspect))
            .filter(|(count, _, _)| *count >= ENDS_LIMIT)
            .collect();
        candidates.sort_by_key(|(count, _, _)| Reverse(*count));
        let mut barred: Vec<(usize, &Fingerprint, &Suspect)> = Vec::new();
        for (count, fingerprint, suspect) in candidates {
            let mut more = barred.iter().filter(|(more, _, _)| *more > count);
            if !more.any(|(_, _, other)| other.covers(suspect)) {
                barred.push((count, fingerprint, suspect));
            }
        }
        self.barred = barred.iter().map(|(_, name, _)| **name).collect();
        Verdicts {
            news: Some(news),
            barred: self.barred.difference(&before).copied().collect(),
            released: before.difference(&self.barred).copied().collect(),
        }
    }

    /// Forgets a content of the account that has most, so that no caller can have those of others
    /// forgotten: the one with the fewest ends, and of these the oldest.
    fn forget_one(&mut self) {
        let mut by_account: BTreeMap<&AccountId, usize> = BTreeMap::new();
        for suspect in self.known.values() {
            *by_account.entry(&suspect.account).or_default() += 1;
        }
        let most = by_account.into_iter().max_by_key(|(_, count)| *count);
        let Some(account) = most.map(|(account, _)| account.clone()) else {
            return;
        };
        let of_account = self.known.iter();
        let least = of_account
            .filter(|(_, suspect)| suspect.account == account)
            .min_by_key(|(_, suspect)| (suspect.ends.len(), suspect.changed_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            self.known.remove(&least);
        }
    }
}
