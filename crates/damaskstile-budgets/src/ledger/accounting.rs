//! Accounting of runs: each run is entered once, whichever instance reports it.

use damaskstile_core::identity::writer_name;
use damaskstile_core::prelude::*;

use super::Ledger;
use crate::entry::Entry;
use crate::grant::Grant;
use crate::records::run_number;

impl Ledger {
    /// Enters what a run used, at most once whichever instance reports it.
    ///
    /// Returns whether the entry was accepted.
    pub(super) fn enter_run(&mut self, identity: &Identity, entry: &Entry, draws: &[Draw]) -> bool {
        if !self.is_entry_admitted(identity, entry, draws) {
            return false;
        }
        let mut left_tokens = entry.cost_tokens();
        for draw in draws {
            let Some(grant) = self.grants.get_mut(&draw.grant) else {
                continue;
            };
            let tokens = left_tokens.min(draw.tokens).min(grant.outstanding_tokens());
            left_tokens -= tokens;
            grant.spent_tokens += tokens;
            self.settled_tokens = self.settled_tokens.saturating_add(tokens);
            grant.kept.remove(&entry.run);
            if grant.is_sealed() {
                grant.shrink_to_kept();
            } else if !grant.is_held_by(identity) || !grant.sealed_by.is_empty() {
                grant.resolved.insert(entry.run.clone());
            }
        }
        self.add_entry(entry, left_tokens);
        true
    }

    fn is_entry_admitted(&self, identity: &Identity, entry: &Entry, draws: &[Draw]) -> bool {
        let mut left_tokens = entry.cost_tokens();
        let mut grants = Vec::new();
        for draw in draws {
            let spent_tokens = left_tokens.min(draw.tokens);
            left_tokens -= spent_tokens;
            match self.grants.get(&draw.grant) {
                Some(grant) => grants.push(grant),
                // Tokens that the run reserved but did not use may have been spent by another run,
                // and the grant closed. Only a grant that the run spent from must still exist.
                None if spent_tokens == 0 => {}
                None => return false,
            }
        }
        let is_kept = |grant: &Grant| grant.kept.contains_key(&entry.run);
        let is_resolved = |grant: &Grant| grant.resolved.contains(&entry.run);
        if grants.iter().any(|grant| grant.is_held_by(identity)) {
            // The holder's entry is accepted unless a witness has accounted for the run first.
            return grants
                .iter()
                .all(|grant| !is_resolved(grant) && (!grant.is_sealed() || is_kept(grant)));
        }
        // Any other writer needs a witness's record as evidence. A run on open grants alone has no
        // seal; it is accepted unless the holder or another instance has entered it.
        let is_open_new = |grant: &&Grant| self.is_open_run_new(grant, &entry.run);
        grants.iter().any(|grant| is_kept(grant))
            || (!grants.is_empty() && grants.iter().all(is_open_new))
    }

    fn is_open_run_new(&self, grant: &Grant, run: &RunId) -> bool {
        let holder = writer_name(&grant.holder, grant.incarnation);
        let settled_below = self
            .writers
            .get(&holder)
            .map_or(0, |state| state.settled_runs_below);
        let is_above = run_number(run).is_some_and(|number| number >= settled_below);
        let is_entered = self.entries.iter().any(|entry| &entry.run == run);
        grant.witnesses.is_empty() && is_above && !is_entered && !grant.resolved.contains(run)
    }

    fn add_entry(&mut self, entry: &Entry, uncovered_tokens: u64) {
        let mut entry = entry.clone();
        // Tokens that no grant covers cannot be billed. They are deducted from the output, which is
        // the larger part.
        entry.output_tokens = entry.output_tokens.saturating_sub(uncovered_tokens);
        let is_repeat = self.entries.iter().any(|other| {
            other.is_billed && other.key == entry.key && other.account == entry.account
        });
        entry.is_billed = entry.is_billed && !is_repeat;
        if entry.is_billed {
            self.bills += 1;
            self.billed_tokens = self.billed_tokens.saturating_add(entry.cost_tokens());
        }
        self.entries.push(entry);
    }
}
