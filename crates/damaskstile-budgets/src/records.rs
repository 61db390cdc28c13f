//! Records of other instances' runs, kept as evidence in case an instance stops responding.

use damaskstile_core::peer::RunRecord;
use damaskstile_core::prelude::*;

/// Maximum number of records; further records are not accepted.
const RECORDS_MAX: usize = 50_000;

/// Identifies one incarnation of a holder.
pub type HolderIncarnation = (InstanceId, Incarnation);

#[derive(Debug, Default)]
struct IncarnationRecords {
    runs: BTreeMap<RunId, RunRecord>,
    /// Budgets whose seal is being written to the store.
    sealing: BTreeSet<BudgetId>,
    /// Sealed grants, for which no record is accepted again.
    sealed: BTreeSet<(BudgetId, GrantId)>,
    /// Runs on record at the time of the seal whose result has to be determined.
    unresolved: BTreeMap<RunId, RunRecord>,
    budgets: BTreeSet<BudgetId>,
}

/// Keeps run records on behalf of peers.
///
/// A record is accepted before its run is dispatched. Once a grant is sealed, no record for it is
/// accepted, so its holder cannot spend from it even if it resumes after a long pause.
#[derive(Debug, Default)]
pub struct RecordKeeper {
    by_holder: BTreeMap<HolderIncarnation, IncarnationRecords>,
    records: usize,
}

impl RecordKeeper {
    /// Creates a keeper without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a record and returns whether it was accepted.
    pub fn keep(&mut self, holder: &HolderIncarnation, record: RunRecord) -> bool {
        let kept = self.by_holder.entry(holder.clone()).or_default();
        let is_sealed = kept.sealing.contains(&record.budget)
            || record.draws.iter().any(|draw| {
                kept.sealed
                    .contains(&(record.budget.clone(), draw.grant.clone()))
            });
        if is_sealed || self.records >= RECORDS_MAX {
            return false;
        }
        kept.budgets.insert(record.budget.clone());
        let is_empty = record.draws.iter().all(|draw| draw.tokens == 0);
        if is_empty {
            // Announces a new grant; there is no run to record yet.
            return true;
        }
        if kept.runs.insert(record.run.clone(), record).is_none() {
            self.records += 1;
        }
        true
    }

    /// Removes the records of runs whose entries are in the ledger.
    pub fn forget(&mut self, holder: &HolderIncarnation, runs: &[RunId]) {
        let Some(kept) = self.by_holder.get_mut(holder) else {
            return;
        };
        for run in runs {
            if kept.runs.remove(run).is_some() {
                self.records -= 1;
            }
            kept.unresolved.remove(run);
        }
    }

    /// Removes the records of all runs with a number below `number`, whose entries are in the
    /// ledger.
    pub fn forget_below(&mut self, holder: &HolderIncarnation, number: u64) {
        let Some(kept) = self.by_holder.get(holder) else {
            return;
        };
        let settled: Vec<RunId> = kept
            .runs
            .keys()
            .filter(|run| run_number(run).is_some_and(|run| run < number))
            .cloned()
            .collect();
        self.forget(holder, &settled);
    }

    /// Stops accepting records of an unresponsive incarnation.
    ///
    /// Returns the content of the seals: for each budget and grant, the runs on record with their
    /// maximum tokens. Budgets whose seal is already being written are left out.
    pub fn seal(
        &mut self,
        holder: &HolderIncarnation,
    ) -> BTreeMap<BudgetId, BTreeMap<GrantId, BTreeMap<RunId, u64>>> {
        let mut by_budget: BTreeMap<_, BTreeMap<_, BTreeMap<_, _>>> = BTreeMap::new();
        let Some(kept) = self.by_holder.get_mut(holder) else {
            return by_budget;
        };
        for budget in &kept.budgets {
            if kept.sealing.insert(budget.clone()) {
                by_budget.insert(budget.clone(), BTreeMap::new());
            }
        }
        for (run, record) in &kept.runs {
            let Some(grants) = by_budget.get_mut(&record.budget) else {
                continue;
            };
            for draw in &record.draws {
                grants
                    .entry(draw.grant.clone())
                    .or_default()
                    .insert(run.clone(), draw.tokens);
            }
        }
        by_budget
    }

    /// Handles that the seal of a budget is in the ledger.
    ///
    /// Returns the runs on record whose result has to be determined. Transfers are not among them.
    pub fn on_sealed(
        &mut self,
        holder: &HolderIncarnation,
        budget: &BudgetId,
        grants: &BTreeSet<GrantId>,
    ) -> Vec<RunRecord> {
        let Some(kept) = self.by_holder.get_mut(holder) else {
            return Vec::new();
        };
        kept.sealing.remove(budget);
        kept.budgets.remove(budget);
        for grant in grants {
            kept.sealed.insert((budget.clone(), grant.clone()));
        }
        let (removed, rest): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut kept.runs)
            .into_iter()
            .partition(|(_, record)| &record.budget == budget);
        kept.runs = rest;
        self.records -= removed.len();
        let unresolved_runs: Vec<RunRecord> = removed
            .into_values()
            .filter(|record| !record.target.is_empty())
            .collect();
        for record in &unresolved_runs {
            kept.unresolved.insert(record.run.clone(), record.clone());
        }
        unresolved_runs
    }

    /// Returns the record of a run whose result is being determined after a seal.
    #[must_use]
    pub fn unresolved_run(&self, run: &RunId) -> Option<&RunRecord> {
        self.by_holder
            .values()
            .find_map(|kept| kept.unresolved.get(run))
    }

    /// Returns the records of all runs whose result is being determined after a seal.
    pub fn unresolved_runs(&self) -> impl Iterator<Item = &RunRecord> {
        self.by_holder
            .values()
            .flat_map(|kept| kept.unresolved.values())
    }

    /// Removes a run whose result no longer has to be determined.
    pub fn forget_unresolved(&mut self, run: &RunId) {
        for kept in self.by_holder.values_mut() {
            kept.unresolved.remove(run);
        }
    }

    /// Returns the incarnations with budgets whose seal is not in the ledger yet.
    pub fn unsealed_holders(&self) -> impl Iterator<Item = &HolderIncarnation> {
        self.by_holder
            .iter()
            .filter(|(_, kept)| !kept.budgets.is_empty())
            .map(|(holder, _)| holder)
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }
}

/// Returns the number in the name of a run, or `None` if the name is not that of a run.
///
/// ```
/// use damaskstile_budgets::records::run_number;
/// assert_eq!(run_number("run-00000000000000ff-12"), Some(12));
/// assert_eq!(run_number("give-b-00000000000000ff-3"), None);
/// ```
#[must_use]
pub fn run_number(run: &str) -> Option<u64> {
    let rest = run.strip_prefix("run-")?;
    let (_, number) = rest.rsplit_once('-')?;
    number.parse().ok()
}
