//! Detection of contents that crash the targets that run them.

use std::cmp::Reverse;

use damaskstile_core::prelude::*;

use crate::content::Content;
use crate::fingerprint::Fingerprint;
use crate::quarantine_changes::QuarantineChanges;
use crate::suspect::Suspect;
use crate::suspect_report::SuspectReport;
use crate::target_crash::TargetCrash;

/// Number of crashes from which on a content is quarantined. One or two happen to any call that
/// runs on a target when something else crashes it.
pub const CRASHES_LIMIT: usize = 3;
/// Maximum number of suspects kept: enough for what runs on some tens of targets that crash
/// together.
const SUSPECTS_MAX: usize = 512;
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
#[derive(Debug, Clone, Default)]
pub struct Suspects {
    suspects: BTreeMap<Fingerprint, Suspect>,
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
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(account));
        if !suspect.note_crash(now, TargetCrash { target, at: now }) {
            return QuarantineChanges::default();
        }
        self.update_quarantine(now, fingerprint)
    }

    /// Records that a content ran to completion on a target that is still up.
    pub fn note_success(&mut self, now: Duration, content: &Content<'_>) -> QuarantineChanges {
        if self.suspects.is_empty() {
            return QuarantineChanges::default();
        }
        let same_coarse_hash = Fingerprint::range_of(Fingerprint::coarse_hash_of(content));
        if self.suspects.range(same_coarse_hash).next().is_none() {
            return QuarantineChanges::default();
        }
        let fingerprint = Fingerprint::of(content);
        let suspect = self.suspects.get_mut(&fingerprint);
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
        let suspect = self.suspects.get(&fingerprint)?;
        let left = suspect.time_with_crashes(now, CRASHES_LIMIT);
        Some(left).filter(|left| !left.is_zero())
    }

    /// Merges a peer's report.
    pub fn merge_report(&mut self, now: Duration, report: SuspectReport) -> QuarantineChanges {
        if report.crashes.is_empty() && !self.suspects.contains_key(&report.fingerprint) {
            return QuarantineChanges::default();
        }
        let suspect = self.suspects.entry(report.fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect::new(&report.account));
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
        let suspects = self.suspects.iter();
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
        let suspect = self.suspects.get(fingerprint)?;
        Some(suspect.report(now, *fingerprint))
    }

    /// Returns the number of suspects, and how many of them are quarantined.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.suspects.len(), self.quarantined.len())
    }

    /// Returns the client account of a content and the number of crashes stored for it.
    #[must_use]
    pub fn crashes_of(&self, fingerprint: &Fingerprint) -> Option<(&AccountId, usize)> {
        let suspect = self.suspects.get(fingerprint)?;
        Some((&suspect.account, suspect.crashes.len()))
    }

    /// Recomputes which contents are quarantined, after the crash history of one changed.
    fn update_quarantine(&mut self, now: Duration, changed: Fingerprint) -> QuarantineChanges {
        self.suspects.retain(|_, suspect| suspect.drop_expired(now));
        while self.suspects.len() > SUSPECTS_MAX {
            self.evict_one();
        }
        let before = std::mem::take(&mut self.quarantined);
        let mut candidates: Vec<(usize, &Fingerprint, &Suspect)> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| (suspect.count(), fingerprint, suspect))
            .filter(|(count, _, _)| *count >= CRASHES_LIMIT)
            .collect();
        candidates.sort_by_key(|(count, _, _)| Reverse(*count));
        let mut quarantined: Vec<(usize, &Fingerprint, &Suspect)> = Vec::new();
        for (count, fingerprint, suspect) in candidates {
            let mut with_more = quarantined.iter().filter(|(more, _, _)| *more > count);
            if !with_more.any(|(_, _, other)| other.covers(suspect)) {
                quarantined.push((count, fingerprint, suspect));
            }
        }
        self.quarantined = quarantined
            .iter()
            .map(|(_, fingerprint, _)| **fingerprint)
            .collect();
        QuarantineChanges {
            changed: Some(changed),
            quarantined: self.quarantined.difference(&before).copied().collect(),
            released: before.difference(&self.quarantined).copied().collect(),
        }
    }

    /// Evicts a suspect of the account that has most of them: the one with the fewest crashes, and
    /// among those the one that changed longest ago. No caller can thus displace the suspects of
    /// others.
    fn evict_one(&mut self) {
        let mut by_account: BTreeMap<&AccountId, usize> = BTreeMap::new();
        for suspect in self.suspects.values() {
            *by_account.entry(&suspect.account).or_default() += 1;
        }
        let most = by_account.into_iter().max_by_key(|(_, count)| *count);
        let Some(account) = most.map(|(account, _)| account.clone()) else {
            return;
        };
        let suspects = self.suspects.iter();
        let evicted = suspects
            .filter(|(_, suspect)| suspect.account == account)
            .min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.changed_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(evicted) = evicted {
            self.suspects.remove(&evicted);
        }
    }
}
