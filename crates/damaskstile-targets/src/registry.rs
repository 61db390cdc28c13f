//! Registry of all targets: which of them leave, which to probe, and which may receive requests.

use damaskstile_core::peer::TargetNote;
use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use crate::candidate::Candidate;
use crate::registry_options::RegistryOptions;
use crate::selector::Selector;
use crate::target::{Evidence, Target};

/// Most notes on targets in one gossip message.
const NOTES_MAX: usize = 8;

/// Result of the selection of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Target to send the request to.
    Target {
        /// Name of the target.
        target: TargetId,
        /// Address of the target.
        address: String,
    },
    /// Targets exist but are full, in backoff, or without fresh evidence that they stay.
    Wait,
    /// All known targets of the service are leaving or were already tried, or none is known.
    NoTarget,
}

/// All targets, as known to an instance.
#[derive(Debug)]
pub struct Registry {
    instance: InstanceId,
    options: RegistryOptions,
    targets: BTreeMap<TargetId, Target>,
    selector: Box<dyn Selector>,
    random: Random,
}

impl Registry {
    /// Creates a registry without targets.
    #[must_use]
    pub fn new(instance: &str, options: RegistryOptions, seed: u64) -> Self {
        let selector = options.selector.selector();
        Self {
            instance: instance.to_owned(),
            options,
            targets: BTreeMap::new(),
            selector,
            random: Random::new(seed),
        }
    }

    /// Sets the age past which evidence no longer allows new requests to a target.
    pub fn set_evidence_age(&mut self, age: Duration) {
        self.options.evidence_age = age;
    }

    /// Applies the platform's list, which lags. Returns the targets that began or ceased to leave,
    /// each with whether it leaves.
    pub fn set_targets(&mut self, targets: Vec<TargetInfo>) -> Vec<(TargetId, bool)> {
        let mut changed = Vec::new();
        let listed: BTreeSet<TargetId> = targets.iter().map(|info| info.target.clone()).collect();
        for info in targets {
            let id = info.target.clone();
            let target = self
                .targets
                .entry(id.clone())
                .or_insert_with(|| Target::new(info.clone()));
            let was_leaving = target.is_leaving();
            if target.info.address != info.address {
                // Another process has the name now; the state of the former one is void.
                *target = Target::new(info.clone());
            }
            target.info = info;
            if target.is_leaving() != was_leaving {
                changed.push((id, target.is_leaving()));
            }
        }
        // A target that is not listed receives no new requests; its open ones are still accounted
        // for.
        self.targets.retain(|id, target| {
            let is_kept = listed.contains(id) || target.own_requests > 0;
            if is_kept && !listed.contains(id) {
                target.info.is_leaving = true;
            }
            is_kept
        });
        changed
    }

    /// Applies a target's own status; `None` counts as a failure. Returns whether the target leaves
    /// if that changed.
    pub fn on_status(
        &mut self,
        now: Duration,
        target: &TargetId,
        status: Option<&TargetStatus>,
    ) -> Option<bool> {
        let target = self.targets.get_mut(target)?;
        let Some(status) = status else {
            target.failed(now);
            return None;
        };
        target.report(now, status);
        let is_changed = target.learn(Evidence {
            is_leaving: status.is_leaving,
            at: now,
        });
        is_changed.then(|| target.is_leaving())
    }

    /// Applies a peer's report on a target. Returns whether the target leaves if that changed.
    pub fn on_note(&mut self, now: Duration, note: &TargetNote) -> Option<bool> {
        let target = self.targets.get_mut(&note.target)?;
        let at = now.saturating_sub(Duration::from_millis(note.age_ms));
        let is_changed = target.learn(Evidence {
            is_leaving: note.is_leaving,
            at,
        });
        is_changed.then(|| target.is_leaving())
    }

    /// Returns the notes on targets for gossip: leaving targets first, then the newest evidence.
    #[must_use]
    pub fn notes(&self, now: Duration) -> Vec<TargetNote> {
        let mut known: Vec<(&TargetId, Evidence)> = self
            .targets
            .iter()
            .filter_map(|(id, target)| target.evidence.map(|evidence| (id, evidence)))
            .filter(|(_, evidence)| now.saturating_sub(evidence.at) <= self.options.evidence_age)
            .collect();
        known.sort_by_key(|(_, evidence)| (!evidence.is_leaving, std::cmp::Reverse(evidence.at)));
        known
            .into_iter()
            .take(NOTES_MAX)
            .map(|(id, evidence)| TargetNote {
                target: id.clone(),
                is_leaving: evidence.is_leaving,
                age_ms: u64::try_from(now.saturating_sub(evidence.at).as_millis())
                    .unwrap_or(u64::MAX),
            })
            .collect()
    }

    /// Selects a target for one more request, other than those already tried.
    pub fn choose(&mut self, now: Duration, service: &str, tried: &BTreeSet<TargetId>) -> Choice {
        let usable = self.usable(service, tried);
        if usable.is_empty() {
            return Choice::NoTarget;
        }
        let candidates: Vec<Candidate> = usable
            .iter()
            .filter_map(|id| self.targets.get(id))
            .filter(|target| target.has_fresh_evidence(now, self.options.evidence_age))
            .filter(|target| !target.is_in_backoff(now))
            .map(|target| self.candidate(now, target))
            .filter(|candidate| !self.is_full(candidate))
            .collect();
        let chosen = self.selector.choose(&candidates, &mut self.random);
        let Some(candidate) = chosen.and_then(|index| candidates.get(index)) else {
            return Choice::Wait;
        };
        let address = self
            .targets
            .get(&candidate.target)
            .map(|target| target.info.address.clone())
            .unwrap_or_default();
        Choice::Target {
            target: candidate.target.clone(),
            address,
        }
    }

    fn usable(&self, service: &str, tried: &BTreeSet<TargetId>) -> Vec<TargetId> {
        let mut usable: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, target)| target.info.service == service && !target.is_leaving())
            .map(|(id, _)| id.clone())
            .collect();
        if usable.len() > self.options.subset_targets {
            // Each instance uses its own subset of many targets, so that the number of probes does
            // not grow with instances x targets.
            usable.sort_by_key(|id| stable_hash(&[&self.instance, id]));
            usable.truncate(self.options.subset_targets);
        }
        usable.retain(|id| !tried.contains(id));
        usable
    }

    fn candidate(&self, now: Duration, target: &Target) -> Candidate {
        Candidate {
            target: target.info.target.clone(),
            own_requests: target.own_requests,
            load_requests: target.load_requests(now, self.options.load_half_life),
            slots_requests: target.slots_requests(),
            answer_time: target.answer_time(),
            idle_for: now.saturating_sub(target.used_at),
        }
    }

    fn is_full(&self, candidate: &Candidate) -> bool {
        candidate.load_requests * 100 >= candidate.slots_requests * self.options.full_percent
    }

    /// Returns the targets to probe now, with their addresses.
    pub fn next_probes(
        &mut self,
        now: Duration,
        services: &BTreeSet<ServiceId>,
    ) -> Vec<(TargetId, String)> {
        let mut asked = Vec::new();
        for service in services {
            for id in self.usable(service, &BTreeSet::new()) {
                asked.push(id);
            }
        }
        // Leaving targets are probed too: they may return under the same name.
        asked.extend(
            self.targets
                .iter()
                .filter(|(_, target)| target.is_leaving())
                .map(|(id, _)| id.clone()),
        );
        let interval = self.options.probe_interval;
        asked
            .into_iter()
            .filter_map(|id| {
                let target = self.targets.get_mut(&id)?;
                let is_due = target
                    .probed_at
                    .is_none_or(|at| now.saturating_sub(at) >= interval);
                if !is_due {
                    return None;
                }
                target.probed_at = Some(now);
                Some((id, target.info.address.clone()))
            })
            .collect()
    }

    /// Records that a request goes to a target.
    pub fn started(&mut self, now: Duration, target: &TargetId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.used_at = now;
            target.own_requests += 1;
        }
    }

    /// Records that a request has ended at a target, and how long it took if it was answered.
    pub fn ended(&mut self, target: &TargetId, took: Option<Duration>) {
        if let Some(target) = self.targets.get_mut(target) {
            target.own_requests = target.own_requests.saturating_sub(1);
            if let Some(took) = took {
                target.answered(took);
            }
        }
    }

    /// Records that a target failed, which begins a backoff.
    pub fn failed(&mut self, now: Duration, target: &TargetId) {
        if let Some(target) = self.targets.get_mut(target) {
            target.failed(now);
        }
    }

    /// Tells whether a target may still receive a request for which it was selected.
    #[must_use]
    pub fn may_send(&self, now: Duration, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|target| {
            !target.is_leaving() && target.has_fresh_evidence(now, self.options.evidence_age)
        })
    }

    /// Returns the address of a target.
    #[must_use]
    pub fn address(&self, target: &TargetId) -> Option<&str> {
        self.targets
            .get(target)
            .map(|target| target.info.address.as_str())
    }

    /// Returns the average answer time of a service's targets; a second if none has answered.
    #[must_use]
    pub fn answer_time(&self, service: &str) -> Duration {
        let times: Vec<Duration> = self
            .targets
            .values()
            .filter(|target| target.info.service == service)
            .filter_map(Target::answer_time)
            .collect();
        let count = u32::try_from(times.len()).unwrap_or(u32::MAX);
        times
            .iter()
            .sum::<Duration>()
            .checked_div(count)
            .unwrap_or(Duration::from_secs(1))
    }
}
