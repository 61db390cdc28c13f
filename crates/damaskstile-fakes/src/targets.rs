//! Fake targets and the authoritative record of what they ran.

use damaskstile::core::prelude::*;

use crate::fake_run::FakeRun;
pub use crate::fake_target::FakeTarget;

/// Result of a dispatch at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The run was accepted and has a slot.
    Started,
    /// The run was accepted and is queued for a slot.
    Queued,
    /// The run is known already and is resumed for a new listener.
    Resumed,
    /// The target refused the run, which has not started.
    Refused,
    /// The target was not reached.
    Unreachable,
}

/// All fake targets and their runs.
#[derive(Debug, Default)]
pub struct FakeTargets {
    /// Targets by name.
    pub targets: BTreeMap<TargetId, FakeTarget>,
    /// All runs that were ever accepted.
    pub runs: BTreeMap<RunId, FakeRun>,
    /// Runs that were reported as never started and must not start any more.
    pub fenced: BTreeSet<RunId>,
    /// Dispatches that reached a target, refused and resumed ones included.
    pub dispatches: u64,
    /// Longest time between a target's start of leaving and a run that it still accepted.
    pub latest_start_after_leaving: Duration,
    /// Tokens processed for each account, prompt and output.
    pub ran_tokens: BTreeMap<AccountId, u64>,
}

impl FakeTargets {
    /// Adds a target.
    pub fn add(
        &mut self,
        name: &str,
        service: &str,
        chunk_interval: Duration,
        slots_requests: u64,
    ) {
        let info = TargetInfo {
            target: name.to_owned(),
            address: format!("at-{name}"),
            service: service.to_owned(),
            data_centre: String::new(),
            is_leaving: false,
        };
        let target = FakeTarget {
            info,
            chunk_interval,
            slots_requests,
            leaving_since: None,
            is_refusing: false,
            is_down: false,
            cut_runs: 0,
            load_history: Vec::new(),
        };
        self.targets.insert(name.to_owned(), target);
    }

    /// Handles a dispatch: starts a run, queues it, resumes it or refuses it.
    pub fn dispatch(
        &mut self,
        now: Duration,
        listener: &str,
        dispatch: &Dispatch,
        prompt_tokens: u64,
        output_tokens: u64,
    ) -> Start {
        let running = self.running(&dispatch.target);
        let Some(target) = self.targets.get_mut(&dispatch.target) else {
            return Start::Unreachable;
        };
        if target.is_down {
            return Start::Unreachable;
        }
        self.dispatches += 1;
        if let Some(run) = self.runs.get_mut(&dispatch.run) {
            run.listener = Some(listener.to_owned());
            return Start::Resumed;
        }
        let is_refused = dispatch.resume_from > 0
            || self.fenced.contains(&dispatch.run)
            || target.is_refusing
            || running >= target.slots_requests * 8;
        let slots = target.slots_requests;
        if is_refused {
            return Start::Refused;
        }
        if let Some(since) = target.leaving_since {
            // A real target would refuse. The fake accepts, so that tests can detect such dispatches.
            let late = now.saturating_sub(since);
            self.latest_start_after_leaving = self.latest_start_after_leaving.max(late);
        }
        let chunks = split_into_chunks(output_tokens.min(dispatch.cap_tokens));
        *self.ran_tokens.entry(dispatch.account.clone()).or_default() += prompt_tokens;
        let run = FakeRun {
            target: dispatch.target.clone(),
            account: dispatch.account.clone(),
            key: dispatch.key.clone(),
            prompt_tokens,
            output_tokens: 0,
            chunks,
            generated_chunks: 0,
            started_at: now,
            listener: Some(listener.to_owned()),
            has_slot: running < slots,
            has_ended: false,
        };
        self.runs.insert(dispatch.run.clone(), run);
        self.record_load(now, &dispatch.target);
        if running < slots {
            Start::Started
        } else {
            Start::Queued
        }
    }

    /// Generates the next chunk of a run, or ends the run after its last one. Returns whether a
    /// chunk was generated.
    pub fn generate(&mut self, now: Duration, id: &RunId) -> bool {
        let Some(run) = self.runs.get_mut(id) else {
            return false;
        };
        let next = run.chunks.get(run.generated_chunks).copied();
        let Some(tokens) = next.filter(|_| !run.has_ended) else {
            run.has_ended = true;
            let target = run.target.clone();
            self.record_load(now, &target);
            return false;
        };
        run.generated_chunks += 1;
        run.output_tokens += tokens;
        *self.ran_tokens.entry(run.account.clone()).or_default() += tokens;
        true
    }

    /// Assigns a free slot of a target to its longest-queued run and returns that run.
    pub fn next_queued(&mut self, target: &str) -> Option<RunId> {
        let waiting = self
            .runs
            .iter_mut()
            .filter(|(_, run)| run.target == target && !run.has_slot && !run.has_ended)
            .min_by_key(|(_, run)| run.started_at)?;
        waiting.1.has_slot = true;
        Some(waiting.0.clone())
    }

    /// Returns the report of a chunk; `None` if it has not been generated yet.
    #[must_use]
    pub fn chunk(&self, id: &RunId, index: usize) -> Option<RunReport> {
        let run = self.runs.get(id)?;
        (index < run.generated_chunks).then(|| RunReport::Chunk {
            index: u64::try_from(index).unwrap_or(u64::MAX),
            tokens: run.chunks[index],
            data: chunk_data(id, index),
        })
    }

    /// Returns the final report of a run; `None` if it is unfinished or was cancelled early.
    #[must_use]
    pub fn finished(&self, id: &RunId) -> Option<RunReport> {
        let run = self.runs.get(id)?;
        let is_complete = run.generated_chunks == run.chunks.len();
        (run.has_ended && is_complete).then(|| RunReport::Finished {
            chunks: u64::try_from(run.chunks.len()).unwrap_or(u64::MAX),
            prompt_tokens: run.prompt_tokens,
            output_tokens: run.output_tokens,
        })
    }

    /// Returns the state of a run. A run that never started is fenced, so that it cannot start
    /// later.
    pub fn state(&mut self, target: &str, id: &RunId) -> RunState {
        let is_down = self.targets.get(target).is_none_or(|target| target.is_down);
        if is_down {
            return RunState::Unreachable;
        }
        match self.runs.get(id) {
            Some(run) if run.has_ended => RunState::Ended {
                prompt_tokens: run.prompt_tokens,
                output_tokens: run.output_tokens,
            },
            Some(_) => RunState::Running,
            None => {
                self.fenced.insert(id.clone());
                RunState::NeverStarted
            }
        }
    }

    /// Returns the status of a target, with its load as it was `lag` ago.
    #[must_use]
    pub fn status(&self, now: Duration, target: &str, lag: Duration) -> Option<TargetStatus> {
        let target = self.targets.get(target).filter(|target| !target.is_down)?;
        let in_flight_requests = target
            .load_history
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now)
            .map_or(0, |(_, load)| *load);
        Some(TargetStatus {
            is_leaving: target.leaving_since.is_some(),
            in_flight_requests,
            slots_requests: target.slots_requests,
            age_ms: u64::try_from(lag.as_millis()).unwrap_or(0),
        })
    }

    /// Returns the number of unfinished runs at a target, queued ones included.
    #[must_use]
    pub fn running(&self, target: &str) -> u64 {
        let count = self
            .runs
            .values()
            .filter(|run| run.target == target && !run.has_ended);
        u64::try_from(count.count()).unwrap_or(u64::MAX)
    }

    /// Returns the number of runs that were started for a request.
    #[must_use]
    pub fn start_count(&self, key: &str) -> usize {
        self.runs.values().filter(|run| run.key == key).count()
    }

    /// Returns the tokens processed for an account, prompt and output.
    #[must_use]
    pub fn ran(&self, account: &str) -> u64 {
        self.ran_tokens.get(account).copied().unwrap_or(0)
    }

    fn record_load(&mut self, now: Duration, target: &str) {
        let load = self.running(target);
        if let Some(target) = self.targets.get_mut(target) {
            target.load_history.push((now, load));
        }
    }
}

/// Returns the data of a chunk, which identifies its run and index.
#[must_use]
pub fn chunk_data(run: &str, index: usize) -> String {
    format!("{run}#{index}")
}

/// Splits an answer into at most four chunks, to keep the number of events low.
fn split_into_chunks(output_tokens: u64) -> Vec<u64> {
    if output_tokens == 0 {
        return vec![0];
    }
    let part = output_tokens.div_ceil(4);
    let mut left = output_tokens;
    let mut chunks = Vec::new();
    while left > 0 {
        let tokens = part.min(left);
        chunks.push(tokens);
        left -= tokens;
    }
    chunks
}
