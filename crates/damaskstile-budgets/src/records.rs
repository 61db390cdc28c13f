//! `records` keeps the records of other instances' runs: the evidence when one falls silent.

use damaskstile_core::peer::RunRecord;
use damaskstile_core::prelude::*;

/// Records that are kept at most; past it none is accepted.
const RECORDS_MAX: usize = 50_000;

/// Names one incarnation of an instance.
pub type Life = (InstanceId, Incarnation);

#[derive(Debug, Default)]
struct Kept {
    runs: BTreeMap<RunId, RunRecord>,
    /// Budgets of which a seal is on its way to the store.
    sealing: BTreeSet<BudgetId>,
    /// Grants that are sealed; they never accept a record again.
    sealed: BTreeSet<(BudgetId, GrantId)>,
    /// Runs of sealed grants that must be looked into.
    following: BTreeMap<RunId, RunRecord>,
    budgets: BTreeSet<BudgetId>,
}

/// `RecordKeeper` keeps records for peers.
///
/// A record is accepted before its run is dispatched. Once a grant is sealed no record on it is
/// accepted, so its holder cannot spend it any more, however long it was paused.
#[derive(Debug, Default)]
pub struct RecordKeeper {
    lives: BTreeMap<Life, Kept>,
    records: usize,
}

impl RecordKeeper {
    /// Makes a keeper without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps a record and tells whether it was accepted.
    pub fn keep(&mut self, life: &Life, record: RunRecord) -> bool {
        let kept = self.lives.entry(life.clone()).or_default();
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
            // The word that a grant has come; there is no run yet.
            return true;
        }
        if kept.runs.insert(record.run.clone(), record).is_none() {
            self.records += 1;
        }
        true
    }

    /// Lets go of records whose entries are stored.
    pub fn forget(&mut self, life: &Life, runs: &[RunId]) {
        let Some(kept) = self.lives.get_mut(life) else {
            return;
        };
        for run in runs {
            if kept.runs.remove(run).is_some() {
                self.records -= 1;
            }
            kept.following.remove(run);
        }
    }

    /// Lets go of all records of runs below a number, whose entries are stored.
    pub fn forget_below(&mut self, life: &Life, number: u64) {
        let Some(kept) = self.lives.get(life) else {
            return;
        };
        let settled: Vec<RunId> = kept
            .runs
            .keys()
            .filter(|run| run_number(run).is_some_and(|run| run < number))
            .cloned()
            .collect();
        self.forget(life, &settled);
    }

    /// Stops accepting records of a silent life.
    ///
    /// Returns the kept worst cases for each budget, by grant, as the seal needs them.
    pub fn seal(
        &mut self,
        life: &Life,
    ) -> BTreeMap<BudgetId, BTreeMap<GrantId, BTreeMap<RunId, u64>>> {
        let mut by_budget: BTreeMap<_, BTreeMap<_, BTreeMap<_, _>>> = BTreeMap::new();
        let Some(kept) = self.lives.get_mut(life) else {
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

    /// Notes that the seal of a budget is stored.
    ///
    /// Returns the runs that must be looked into: they are on record and not accounted for.
    pub fn sealed(
        &mut self,
        life: &Life,
        budget: &BudgetId,
        grants: &BTreeSet<GrantId>,
    ) -> Vec<RunRecord> {
        let Some(kept) = self.lives.get_mut(life) else {
            return Vec::new();
        };
        kept.sealing.remove(budget);
        kept.budgets.remove(budget);
        for grant in grants {
            kept.sealed.insert((budget.clone(), grant.clone()));
        }
        let (gone, rest): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut kept.runs)
            .into_iter()
            .partition(|(_, record)| &record.budget == budget);
        kept.runs = rest;
        self.records -= gone.len();
        let followed: Vec<RunRecord> = gone
            .into_values()
            .filter(|record| !record.target.is_empty())
            .collect();
        for record in &followed {
            kept.following.insert(record.run.clone(), record.clone());
        }
        followed
    }

    /// Returns the record of a sealed run that is being looked into.
    #[must_use]
    pub fn followed(&self, run: &RunId) -> Option<&RunRecord> {
        self.lives.values().find_map(|kept| kept.following.get(run))
    }

    /// Returns all sealed runs that are being looked into.
    pub fn all_followed(&self) -> impl Iterator<Item = &RunRecord> {
        self.lives.values().flat_map(|kept| kept.following.values())
    }

    /// Ends looking into a run.
    pub fn unfollow(&mut self, run: &RunId) {
        for kept in self.lives.values_mut() {
            kept.following.remove(run);
        }
    }

    /// Returns the lives of an instance that have records or unsealed budgets.
    pub fn lives(&self) -> impl Iterator<Item = &Life> {
        self.lives
            .iter()
            .filter(|(_, kept)| !kept.budgets.is_empty())
            .map(|(life, _)| life)
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records
    }

    /// Tells whether no record is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }
}

/// Returns the number in a run's name.
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
