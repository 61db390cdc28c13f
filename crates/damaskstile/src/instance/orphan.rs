//! Orphaned runs: runs that have no open stream and whose usage is not known.
//!
//! There are two kinds: runs of this instance whose stream broke off or that were cancelled, and
//! runs of a silent peer that this instance has a record of. Each is settled when its target
//! reports what was run, or at its worst case after a time limit.

use damaskstile_budgets::Entry;
use damaskstile_core::peer::{Adoption, RunRecord};
use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;

use super::timers::Timer;
use super::{Effects, Instance};

/// Interval between two inquiries about the same run.
const INQUIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Run whose end is not known.
#[derive(Debug)]
pub(super) struct OrphanedRun {
    entry: Entry,
    budget: BudgetId,
    address: String,
    prompt_tokens: u64,
    worst_case_tokens: u64,
    deadline: Duration,
    /// Whether the run is a silent peer's and draws on open grants only.
    is_open: bool,
    /// Draws of a silent peer's run; `None` for a run of this instance.
    draws: Option<Vec<Draw>>,
    /// Transfers by which the silent peer received the tokens.
    origins: Vec<Adoption>,
}

impl Instance {
    /// Turns a request's run into an orphaned run. Its tokens stay reserved until it is settled.
    pub(super) fn orphan_run(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let run = request.run.clone();
        if self.by_run.remove(&run).is_none() {
            return;
        }
        let (target, address) = request.target.clone().unwrap_or_default();
        let orphan = OrphanedRun {
            entry: self.entry(request, 0, 0),
            budget: request.budget.clone(),
            address,
            prompt_tokens: request.prompt_tokens,
            worst_case_tokens: request.worst_case_tokens(),
            deadline: self.now + self.options.inquiry_limit,
            is_open: false,
            draws: None,
            origins: Vec::new(),
        };
        self.registry.ended(&target, None);
        if let Some(request) = self.requests.get_mut(&number) {
            request.has_begun = true;
        }
        self.orphans.insert(run.clone(), orphan);
        self.inquire(&run, effects);
    }

    /// Takes over the recorded runs of a silent peer whose grants have been sealed: settles those
    /// with a reported end and inquires about the others.
    pub(super) fn on_sealed(
        &mut self,
        budget: &BudgetId,
        peer: &(InstanceId, Incarnation),
        grants: &BTreeSet<GrantId>,
        effects: &mut Effects,
    ) {
        for record in self.keeper.on_sealed(peer, budget, grants) {
            let run = record.run.clone();
            let is_open = !record.draws.iter().any(|draw| grants.contains(&draw.grant));
            let end = record.ended.clone();
            let orphan = self.orphan_of_record(record, is_open);
            self.orphans.insert(run.clone(), orphan);
            match end {
                Some(end) => {
                    self.settle_orphan(&run, end.prompt_tokens, end.output_tokens, true, effects);
                }
                None => self.inquire(&run, effects),
            }
        }
    }

    fn orphan_of_record(&self, record: RunRecord, is_open: bool) -> OrphanedRun {
        let worst_case_tokens = record.draws.iter().map(|draw| draw.tokens).sum();
        OrphanedRun {
            entry: Entry {
                run: record.run,
                key: record.key,
                account: record.account,
                target: record.target,
                prompt_tokens: 0,
                output_tokens: 0,
                is_billed: true,
                biller: self.options.identity.instance.clone(),
                at_unix_ms: unix_ms(self.now),
            },
            budget: record.budget,
            address: record.address,
            prompt_tokens: record.prompt_tokens,
            worst_case_tokens,
            deadline: self.now + self.options.inquiry_limit,
            is_open,
            draws: Some(record.draws),
            origins: record.origins,
        }
    }

    /// Asks the target of an orphaned run for its state; past the time limit the run is settled at
    /// its worst case.
    pub(super) fn inquire(&mut self, run: &RunId, effects: &mut Effects) {
        let Some(orphan) = self.orphans.get(run) else {
            return;
        };
        if self.now >= orphan.deadline {
            if orphan.is_open {
                // Its tokens stay in the grant of the lost holder, where they count as spent.
                self.orphans.remove(run);
                self.keeper.forget_unresolved(run);
                return;
            }
            // The usage stays unknown. The reserved tokens count as spent, but the caller is not
            // billed for an answer that nobody received.
            let (prompt_tokens, worst_case_tokens) =
                (orphan.prompt_tokens, orphan.worst_case_tokens);
            let prompt_tokens = prompt_tokens.min(worst_case_tokens);
            self.settle_orphan(
                run,
                prompt_tokens,
                worst_case_tokens - prompt_tokens,
                false,
                effects,
            );
            return;
        }
        effects.push(Effect::Inquire {
            run: run.clone(),
            target: orphan.entry.target.clone(),
            address: orphan.address.clone(),
        });
        self.set_timer(INQUIRY_INTERVAL, Timer::Inquiry(run.clone()));
    }

    pub(super) fn on_run_state(&mut self, run: &RunId, state: &RunState, effects: &mut Effects) {
        let Some(orphan) = self.orphans.get(run) else {
            return;
        };
        match state {
            RunState::Running | RunState::Unreachable => {}
            RunState::NeverStarted => self.settle_orphan(run, 0, 0, false, effects),
            RunState::Ended {
                prompt_tokens,
                output_tokens,
            } => {
                let prompt_tokens = (*prompt_tokens).min(orphan.prompt_tokens);
                let left_tokens = orphan.worst_case_tokens.saturating_sub(prompt_tokens);
                let output_tokens = (*output_tokens).min(left_tokens);
                self.settle_orphan(run, prompt_tokens, output_tokens, true, effects);
            }
        }
    }

    fn settle_orphan(
        &mut self,
        run: &RunId,
        prompt_tokens: u64,
        output_tokens: u64,
        is_billed: bool,
        effects: &mut Effects,
    ) {
        let Some(orphan) = self.orphans.remove(run) else {
            return;
        };
        let mut entry = orphan.entry;
        entry.prompt_tokens = prompt_tokens;
        entry.output_tokens = output_tokens;
        entry.is_billed = is_billed;
        entry.at_unix_ms = unix_ms(self.now);
        self.with_holder(&orphan.budget, effects, |holder, now, fx| {
            match orphan.draws {
                Some(draws) => holder.settle_from_record(now, entry, draws, orphan.origins),
                None => holder.settle(now, entry),
            }
            holder.tick(now, fx);
        });
    }
}
