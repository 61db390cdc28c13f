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
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// Run whose end is not known.
#[derive(Debug)]
pub(super) struct Stray {
    entry: Entry,
    budget: BudgetId,
    address: String,
    prompt_tokens: u64,
    worst_tokens: u64,
    until: Duration,
    /// Whether the run is a silent peer's and draws on open grants only.
    is_open: bool,
    /// Draws of a silent peer's run; `None` for a run of this instance.
    draws: Option<Vec<Draw>>,
    /// Transfers by which the silent peer received the tokens.
    origins: Vec<Adoption>,
}

impl Instance {
    /// Turns a request's run into an orphaned run. Its tokens stay reserved until it is settled.
    pub(super) fn lose_run(&mut self, number: u64, effects: &mut Effects) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let run = request.run.clone();
        if self.by_run.remove(&run).is_none() {
            return;
        }
        let (target, address) = request.target.clone().unwrap_or_default();
        let stray = Stray {
            entry: self.entry(request, 0, 0),
            budget: request.budget.clone(),
            address,
            prompt_tokens: request.prompt_tokens,
            worst_tokens: request.worst_tokens(),
            until: self.now + self.options.inquire_until,
            is_open: false,
            draws: None,
            origins: Vec::new(),
        };
        self.registry.ended(&target, None);
        if let Some(request) = self.requests.get_mut(&number) {
            request.has_begun = true;
        }
        self.strays.insert(run.clone(), stray);
        self.inquire(&run, effects);
    }

    /// Takes over the recorded runs of a silent peer whose grants have been sealed: settles those
    /// with a reported end and inquires about the others.
    pub(super) fn on_sealed(
        &mut self,
        budget: &BudgetId,
        life: &(InstanceId, Incarnation),
        grants: &BTreeSet<GrantId>,
        effects: &mut Effects,
    ) {
        for record in self.keeper.sealed(life, budget, grants) {
            let run = record.run.clone();
            let is_open = !record.draws.iter().any(|draw| grants.contains(&draw.grant));
            let end = record.ended.clone();
            let stray = self.stray_of_record(record, is_open);
            self.strays.insert(run.clone(), stray);
            match end {
                Some(end) => {
                    self.settle_stray(&run, end.prompt_tokens, end.output_tokens, true, effects);
                }
                None => self.inquire(&run, effects),
            }
        }
    }

    fn stray_of_record(&self, record: RunRecord, is_open: bool) -> Stray {
        let worst_tokens = record.draws.iter().map(|draw| draw.tokens).sum();
        Stray {
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
            worst_tokens,
            until: self.now + self.options.inquire_until,
            is_open,
            draws: Some(record.draws),
            origins: record.origins,
        }
    }

    /// Asks the target of an orphaned run for its state; past the time limit the run is settled at
    /// its worst case.
    pub(super) fn inquire(&mut self, run: &RunId, effects: &mut Effects) {
        let Some(stray) = self.strays.get(run) else {
            return;
        };
        if self.now >= stray.until {
            if stray.is_open {
                // Its tokens stay in the grant of the lost holder, where they count as spent.
                self.strays.remove(run);
                self.keeper.unfollow(run);
                return;
            }
            // The usage stays unknown. The reserved tokens count as spent, but the caller is not
            // billed for an answer that nobody received.
            let (prompt_tokens, worst_tokens) = (stray.prompt_tokens, stray.worst_tokens);
            let prompt_tokens = prompt_tokens.min(worst_tokens);
            self.settle_stray(
                run,
                prompt_tokens,
                worst_tokens - prompt_tokens,
                false,
                effects,
            );
            return;
        }
        effects.push(Effect::Inquire {
            run: run.clone(),
            target: stray.entry.target.clone(),
            address: stray.address.clone(),
        });
        self.set_timer(ASK_AGAIN_AFTER, Timer::Stray(run.clone()));
    }

    pub(super) fn on_run_state(&mut self, run: &RunId, state: &RunState, effects: &mut Effects) {
        let Some(stray) = self.strays.get(run) else {
            return;
        };
        match state {
            RunState::Running | RunState::Unreachable => {}
            RunState::NeverStarted => self.settle_stray(run, 0, 0, false, effects),
            RunState::Ended {
                prompt_tokens,
                output_tokens,
            } => {
                let prompt_tokens = (*prompt_tokens).min(stray.prompt_tokens);
                let left_tokens = stray.worst_tokens.saturating_sub(prompt_tokens);
                let output_tokens = (*output_tokens).min(left_tokens);
                self.settle_stray(run, prompt_tokens, output_tokens, true, effects);
            }
        }
    }

    fn settle_stray(
        &mut self,
        run: &RunId,
        prompt_tokens: u64,
        output_tokens: u64,
        is_billed: bool,
        effects: &mut Effects,
    ) {
        let Some(stray) = self.strays.remove(run) else {
            return;
        };
        let mut entry = stray.entry;
        entry.prompt_tokens = prompt_tokens;
        entry.output_tokens = output_tokens;
        entry.is_billed = is_billed;
        entry.at_unix_ms = unix_ms(self.now);
        self.with_holder(&stray.budget, effects, |holder, now, fx| {
            match stray.draws {
                Some(draws) => holder.settle_for_other(now, entry, draws, stray.origins),
                None => holder.settle(now, entry),
            }
            holder.tick(now, fx);
        });
    }
}
