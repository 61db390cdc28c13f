//! Detection of contents that crash the targets that run them.

use std::cmp::Reverse;

use damaskstile_core::prelude::*;

use crate::content::Content;
use crate::fingerprint::Fingerprint;
use crate::quarantine_changes::QuarantineChanges;
use crate::sound_parts::SoundParts;
use crate::suspect::Suspect;
use crate::suspect_report::SuspectReport;
use crate::target_crash::TargetCrash;

/// Number of crashes from which on a content is quarantined. One or two happen to any call that
/// runs on a target when something else crashes it.
pub const CRASHES_LIMIT: usize = 3;
/// The same for a part of prompts on which targets have answered lately. Many calls have it, and
/// some are likely to run wherever a target crashes.
const SOUND_PART_CRASHES_LIMIT: usize = 6;
/// Maximum number of suspects kept: enough for what runs on some tens of targets that crash
/// together.
const SUSPECTS_MAX: usize = 1_024;
/// Time for which a change is reported to peers. Quarantined contents are reported for as long as
/// they are quarantined, so that a starting instance learns of them with the first digests.
const REPORTED_FOR: Duration = Duration::from_secs(5);
/// Maximum number of contents reported at a time, about two kilobytes.
const REPORTS_MAX: usize = 24;

/// `Suspects` finds and quarantines the contents that crash the targets that run them.
///
/// Attempts are limited for each call, but callers retry under other ids and at other instances. A
/// content that crashes every target that starts to run it therefore takes down one target after
/// the other, with everything that runs there. Its sign is that the same content ran on several
/// targets when they crashed, so crashes are counted by content and reported to all instances.
///
/// Tens of other contents run on each target that crashes. Running to completion elsewhere clears
/// them. Besides, a content is not quarantined if all of its crashes are also crashes of a
/// quarantined content that has more of them.
///
/// A part of prompts can crash targets as well, whatever else the calls contain. Parts are suspects
/// like contents, with two differences. A target crashes when it begins to write an answer on such a
/// part, so a crash counts only against the parts of calls without an event, and the first event of
/// a call clears its parts. And a crash counts against one part only: the one with the most crashes,
/// those that targets have answered on lately last, and of equal ones the one farthest back in its
/// prompts, which the fewest calls share.
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    sound_parts: SoundParts,
    histories: BTreeMap<Fingerprint, Suspect>,
    quarantined: BTreeSet<Fingerprint>,
}

impl Suspects {
    /// Records that a target crashed while it ran a content.
    pub fn note_crash(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        account: &str,
        target: TargetIdentity,
    ) -> QuarantineChanges {
        let suspect = self.suspect(fingerprint, account);
        if !suspect.note_crash(now, TargetCrash { target, at: now }) {
            return QuarantineChanges::default();
        }
        self.update_quarantine(now, fingerprint)
    }

    /// Records that a target crashed before it had written anything on a prompt with this part.
    pub fn note_part_crash(
        &mut self,
        now: Duration,
        part: u64,
        position: u32,
        account: &str,
        target: TargetIdentity,
    ) -> QuarantineChanges {
        let fingerprint = Fingerprint::of_part(part);
        let suspect = self.suspect(fingerprint, account);
        suspect.position = suspect.position.max(position);
        self.note_crash(now, fingerprint, account, target)
    }

    /// Records that a target began to write an answer on a prompt with this part.
    pub fn note_sound_part(&mut self, now: Duration, part: u64) -> QuarantineChanges {
        self.sound_parts.note(now, part);
        self.clear(now, Fingerprint::of_part(part))
    }

    /// Returns the first quarantined part of a prompt, and for how long it stays quarantined.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_requests::Suspects;
    /// let mut suspects = Suspects::default();
    /// for second in 1..=3 {
    ///     let target = TargetIdentity::new(&second.to_string(), None);
    ///     suspects.note_part_crash(Duration::from_secs(second), 7, 1, "a", target);
    /// }
    /// let now = Duration::from_secs(4);
    /// assert!(suspects.quarantined_part(now, [5, 7].into_iter()).is_some());
    /// assert!(suspects.quarantined_part(now, [5, 6].into_iter()).is_none());
    /// ```
    pub fn quarantined_part(
        &self,
        now: Duration,
        mut parts: impl Iterator<Item = u64>,
    ) -> Option<(Fingerprint, Duration)> {
        if self.quarantined.is_empty() {
            return None;
        }
        parts.find_map(|part| {
            let fingerprint = Fingerprint::of_part(part);
            let suspect = self.histories.get(&fingerprint)?;
            let is_quarantined = self.quarantined.contains(&fingerprint);
            let left = suspect.time_with_crashes(now, part_limit(suspect));
            (is_quarantined && !left.is_zero()).then_some((fingerprint, left))
        })
    }

    /// Returns the suspect with a fingerprint, made if need be. What is known of a sound part counts
    /// from the beginning.
    fn suspect(&mut self, fingerprint: Fingerprint, account: &str) -> &mut Suspect {
        let answered_at = fingerprint
            .part()
            .and_then(|part| self.sound_parts.answered_at(part));
        let suspect = self.histories.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(account));
        suspect.cleared_at = suspect.cleared_at.max(answered_at);
        suspect
    }

    /// Records that a content ran to completion on a target that is still up.
    pub fn note_success(&mut self, now: Duration, content: &Content<'_>) -> QuarantineChanges {
        if self.histories.is_empty() {
            return QuarantineChanges::default();
        }
        let same_coarse_hash = Fingerprint::range_of(Fingerprint::coarse_hash_of(content));
        if self.histories.range(same_coarse_hash).next().is_none() {
            return QuarantineChanges::default();
        }
        self.clear(now, Fingerprint::of(content))
    }

    /// Removes the crashes so far from the history of a suspect, if there is one.
    fn clear(&mut self, now: Duration, fingerprint: Fingerprint) -> QuarantineChanges {
        let suspect = self.histories.get_mut(&fingerprint);
        if suspect.is_some_and(|suspect| suspect.clear(now, now)) {
            self.update_quarantine(now, fingerprint)
        } else {
            QuarantineChanges::default()
        }
    }

    /// Returns for how long a content stays quarantined; `None` if it is not quarantined.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_requests::{Content, Fingerprint, Suspects};
    /// let content = Content { account: "a", method: "GET", host: "h", path: "/", body: b"" };
    /// let mut suspects = Suspects::default();
    /// for second in 1..=3 {
    ///     let (now, target) = (Duration::from_secs(second), second.to_string());
    ///     assert_eq!(suspects.quarantined_for(now, &content), None);
    ///     let target = TargetIdentity::new(&target, None);
    ///     suspects.note_crash(now, Fingerprint::of(&content), "a", target);
    /// }
    /// assert!(suspects.quarantined_for(Duration::from_secs(4), &content).is_some());
    /// ```
    #[must_use]
    pub fn quarantined_for(&self, now: Duration, content: &Content<'_>) -> Option<Duration> {
        if self.quarantined.is_empty() {
            return None;
        }
        // Most calls are ruled out without hashing their bodies.
        let coarse_hash = Fingerprint::coarse_hash_of(content);
        self.quarantined
            .range(Fingerprint::range_of(coarse_hash))
            .next()?;
        let fingerprint = Fingerprint::of(content);
        if !self.quarantined.contains(&fingerprint) {
            return None;
        }
        let suspect = self.histories.get(&fingerprint)?;
        let left = suspect.time_with_crashes(now, CRASHES_LIMIT);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Merges a peer's report.
    pub fn merge_report(&mut self, now: Duration, report: SuspectReport) -> QuarantineChanges {
        if report.crashes.is_empty() && !self.histories.contains_key(&report.fingerprint) {
            return QuarantineChanges::default();
        }
        let suspect = self.suspect(report.fingerprint, &report.account);
        suspect.position = suspect.position.max(report.position);
        let mut is_changed = report
            .cleared_age
            .is_some_and(|age| suspect.clear(now, now.saturating_sub(age)));
        for (target, age) in report.crashes {
            let at = now.saturating_sub(age);
            is_changed |= suspect.note_crash(now, TargetCrash { target, at });
        }
        if is_changed {
            self.update_quarantine(now, report.fingerprint)
        } else {
            QuarantineChanges::default()
        }
    }

    /// Returns the reports to send to all peers now, those with the most crashes first.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<SuspectReport> {
        let is_reported_to_all = |fingerprint: &Fingerprint, suspect: &Suspect| {
            let is_recent = now.saturating_sub(suspect.changed_at) < REPORTED_FOR;
            (is_recent && suspect.is_reported_to_all) || self.quarantined.contains(fingerprint)
        };
        let suspects = self.histories.iter();
        let mut reported: Vec<(&Fingerprint, &Suspect)> = suspects
            .filter(|(fingerprint, suspect)| is_reported_to_all(fingerprint, suspect))
            .collect();
        reported.sort_by_key(|(_, suspect)| Reverse((suspect.crashes.len(), suspect.changed_at)));
        reported.truncate(REPORTS_MAX);
        reported
            .into_iter()
            .map(|(fingerprint, suspect)| suspect.report(now, *fingerprint))
            .collect()
    }

    /// Returns the report about a content, for the instances that collect its crashes.
    #[must_use]
    pub fn report(&self, now: Duration, fingerprint: &Fingerprint) -> Option<SuspectReport> {
        let suspect = self.histories.get(fingerprint)?;
        Some(suspect.report(now, *fingerprint))
    }

    /// Returns the number of suspects, and how many of them are quarantined.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.histories.len(), self.quarantined.len())
    }

    /// Returns the client account of a content and the number of crashes stored for it.
    #[must_use]
    pub fn crashes_of(&self, fingerprint: &Fingerprint) -> Option<(&AccountId, usize)> {
        let suspect = self.histories.get(fingerprint)?;
        Some((&suspect.account, suspect.crashes.len()))
    }

    /// Recomputes which contents are quarantined, after the crash history of one changed.
    fn update_quarantine(&mut self, now: Duration, changed: Fingerprint) -> QuarantineChanges {
        self.histories
            .retain(|_, suspect| suspect.drop_expired(now));
        while self.histories.len() > SUSPECTS_MAX {
            self.evict_one();
        }
        let before = std::mem::take(&mut self.quarantined);
        let mut candidates: Vec<(usize, &Fingerprint, &Suspect)> = self
            .histories
            .iter()
            .map(|(fingerprint, suspect)| (suspect.count(), fingerprint, suspect))
            .filter(|(count, fingerprint, _)| !fingerprint.is_part() && *count >= CRASHES_LIMIT)
            .collect();
        candidates.sort_by_key(|(count, _, _)| Reverse(*count));
        let mut quarantined: Vec<(usize, &Fingerprint, &Suspect)> = Vec::new();
        for (count, fingerprint, suspect) in candidates {
            let mut with_more = quarantined.iter().filter(|(more, _, _)| *more > count);
            if !with_more.any(|(_, _, other)| other.covers(suspect)) {
                quarantined.push((count, fingerprint, suspect));
            }
        }
        let parts = self.quarantined_parts(&quarantined);
        quarantined.retain(|(count, _, suspect)| {
            let mut with_more = parts.iter().filter(|(_, part)| part.count() > *count);
            !with_more.any(|(_, part)| part.covers(suspect))
        });
        let contents = quarantined.iter().map(|(_, fingerprint, _)| **fingerprint);
        let parts = parts.iter().map(|(fingerprint, _)| **fingerprint);
        self.quarantined = contents.chain(parts).collect();
        QuarantineChanges {
            changed: Some(changed),
            quarantined: self.quarantined.difference(&before).copied().collect(),
            released: before.difference(&self.quarantined).copied().collect(),
        }
    }

    /// Returns the parts to quarantine beside the given contents. All crashes of a part whose calls
    /// had the same content are held against the content, which is narrower.
    fn quarantined_parts(
        &self,
        contents: &[(usize, &Fingerprint, &Suspect)],
    ) -> Vec<(&Fingerprint, &Suspect)> {
        let parts = self.histories.iter();
        let mut candidates: Vec<(&Fingerprint, &Suspect)> = parts
            .filter(|(fingerprint, suspect)| {
                fingerprint.is_part() && suspect.count() >= part_limit(suspect)
            })
            .filter(|(_, suspect)| !contents.iter().any(|(_, _, other)| other.covers(suspect)))
            .collect();
        candidates.sort_by_key(|(_, suspect)| {
            let is_sound = suspect.cleared_at.is_some();
            (is_sound, Reverse((suspect.count(), suspect.position)))
        });
        let mut quarantined: Vec<(&Fingerprint, &Suspect)> = Vec::new();
        for (fingerprint, suspect) in candidates {
            let others: Vec<&Suspect> = quarantined.iter().map(|(_, other)| *other).collect();
            if suspect.count_unexplained(&others) >= part_limit(suspect) {
                quarantined.push((fingerprint, suspect));
            }
        }
        quarantined
    }

    /// Evicts a suspect of the account that has most of them: the one with the fewest crashes, and
    /// among those the one that changed longest ago. No caller can thus displace the suspects of
    /// others.
    fn evict_one(&mut self) {
        let mut by_account: BTreeMap<&AccountId, usize> = BTreeMap::new();
        for suspect in self.histories.values() {
            *by_account.entry(&suspect.account).or_default() += 1;
        }
        let most = by_account.into_iter().max_by_key(|(_, count)| *count);
        let Some(account) = most.map(|(account, _)| account.clone()) else {
            return;
        };
        let suspects = self.histories.iter();
        let evicted = suspects
            .filter(|(_, suspect)| suspect.account == account)
            .min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.changed_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(evicted) = evicted {
            self.histories.remove(&evicted);
        }
    }
}

/// Returns the number of crashes from which on a part is quarantined.
fn part_limit(part: &Suspect) -> usize {
    if part.cleared_at.is_some() {
        SOUND_PART_CRASHES_LIMIT
    } else {
        CRASHES_LIMIT
    }
}
