//! Invariants that every simulated scenario must keep.

use damaskstile::budgets::Entry;
use damaskstile::core::prelude::*;

use crate::simulation::Simulation;
use crate::targets::chunk_data;

/// Checks the invariants that hold at every moment: stored ledgers are valid and no more tokens
/// are spent than were topped up.
///
/// # Errors
///
/// Returns the promise that is broken.
pub fn always(simulation: &Simulation) -> Result<(), String> {
    if let Some(broken) = simulation.store.broken.first() {
        return Err(broken.clone());
    }
    // Stricter than the invariant: the tokens that ran must be settled or held under a grant, so
    // that they cannot be granted again.
    let committed = simulation.store.ledger("office").committed_tokens();
    let ran = simulation.targets.ran("office");
    if ran > committed {
        return Err(format!(
            "overspend: targets processed {ran} tokens, {committed} are committed"
        ));
    }
    Ok(())
}

/// Checks the invariants that hold once all calls have finished.
///
/// # Errors
///
/// Returns the promise that is broken.
pub fn at_end(simulation: &Simulation) -> Result<(), String> {
    always(simulation)?;
    answers_are_complete(simulation)?;
    refused_requests_did_not_run(simulation)?;
    non_idempotent_requests_run_once(simulation)?;
    calls_are_answered(simulation)?;
    bills_are_unique(simulation)
}

/// Returns all ledger entries of a budget: those in stored bill pages, then pending ones.
#[must_use]
pub fn entries(simulation: &Simulation, budget: &str) -> Vec<Entry> {
    let prefix = format!("bills/{budget}/");
    let pages = simulation
        .store
        .list(&prefix)
        .filter_map(|(_, object)| serde_json::from_str::<Vec<Entry>>(&object.value).ok());
    let ledger = simulation.store.ledger(budget);
    let stored = usize::try_from(ledger.next_page).unwrap_or(usize::MAX);
    let mut entries: Vec<Entry> = pages.take(stored).flatten().collect();
    entries.extend(ledger.entries);
    entries
}

/// An answered caller received all chunks of a run of its own request and no other chunk.
fn answers_are_complete(simulation: &Simulation) -> Result<(), String> {
    for (handle, answered) in &simulation.calls {
        let Some(Outcome::Answered(receipt)) = &answered.outcome else {
            continue;
        };
        let key = &receipt.key;
        let is_own = |run: &RunId| {
            simulation
                .targets
                .runs
                .get(run)
                .is_some_and(|ran| &ran.key == key)
        };
        let Some(run) = answered
            .chunks
            .first()
            .and_then(|chunk| chunk.split_once('#'))
            .map(|(run, _)| run.to_owned())
            .filter(is_own)
        else {
            return Err(format!(
                "call {handle}: answered without a chunk of its own request"
            ));
        };
        let chunks = simulation.targets.runs[&run].chunks.len();
        let expected: Vec<String> = (0..chunks).map(|index| chunk_data(&run, index)).collect();
        if answered.chunks != expected {
            return Err(format!(
                "call {handle}: incomplete or wrong chunks {:?}",
                answered.chunks
            ));
        }
    }
    Ok(())
}

/// A request refused as not run was never started at a target.
fn refused_requests_did_not_run(simulation: &Simulation) -> Result<(), String> {
    for (handle, answered) in &simulation.calls {
        let is_refused = answered.outcome.as_ref().is_some_and(Outcome::is_not_run);
        // A key shared by several calls may have run for another of them.
        let is_only_call = simulation.call_count(&answered.key) == 1;
        if is_refused && is_only_call && simulation.targets.start_count(&answered.key) > 0 {
            return Err(format!(
                "call {handle}: refused as not run, but a run was started"
            ));
        }
    }
    Ok(())
}

/// A non-idempotent request runs at most once.
fn non_idempotent_requests_run_once(simulation: &Simulation) -> Result<(), String> {
    for key in &simulation.non_idempotent {
        let starts = simulation.targets.start_count(key);
        if starts > 1 {
            return Err(format!("request {key}: non-idempotent, ran {starts} times"));
        }
    }
    Ok(())
}

/// Every call has an outcome if the incarnation that was called is still running.
fn calls_are_answered(simulation: &Simulation) -> Result<(), String> {
    for (handle, answered) in &simulation.calls {
        let lives_on = answered.incarnation != 0
            && simulation.incarnation(&answered.instance) == answered.incarnation;
        if lives_on && answered.outcome.is_none() {
            return Err(format!("call {handle}: no outcome from a running instance"));
        }
    }
    Ok(())
}

/// No run is entered twice and no request is billed twice.
fn bills_are_unique(simulation: &Simulation) -> Result<(), String> {
    let mut runs = BTreeSet::new();
    let mut bills = BTreeSet::new();
    for entry in entries(simulation, "office") {
        if !runs.insert(entry.run.clone()) {
            return Err(format!("run {} is entered twice", entry.run));
        }
        if entry.is_billed && !bills.insert((entry.account.clone(), entry.key.clone())) {
            return Err(format!("request {} is billed twice", entry.key));
        }
    }
    Ok(())
}

/// Checks that every answered request is billed. Holds only once all bills have been stored.
///
/// # Errors
///
/// Returns the request without a bill.
pub fn answered_is_billed(simulation: &Simulation) -> Result<(), String> {
    let billed: BTreeSet<RequestKey> = entries(simulation, "office")
        .into_iter()
        .filter(|entry| entry.is_billed)
        .map(|entry| entry.key)
        .collect();
    for answered in simulation.calls.values() {
        if let Some(Outcome::Answered(receipt)) = &answered.outcome
            && !billed.contains(&receipt.key)
        {
            return Err(format!("request {}: answered, but not billed", receipt.key));
        }
    }
    Ok(())
}
