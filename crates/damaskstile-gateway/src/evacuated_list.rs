//! The list of data centres that operators have evacuated.

use damaskstile_core::prelude::*;
use damaskstile_targets::EvacuationChanges;

use crate::fault::fault;
use crate::gateway::Gateway;
use crate::metrics::Stored;
use crate::objects::{Change, Listing, ObjectStore};
use crate::target_list::log_refused;

/// Time after the store was restored from an older copy during which entries may be missing until
/// the operator writes them again.
const RESTORED_WAIT: Duration = Duration::from_secs(2);

/// Applies all entries as of the listing's version. Returns false without applying any if the store
/// was restored from an older copy and may lack entries that are still valid.
pub(crate) fn apply_listing(gateway: &Gateway, listing: &Listing) -> bool {
    let names = listing.objects.iter().map(|object| object.name.as_str());
    let all = names.filter_map(|name| read(gateway, name, listing.version));
    let mut all: BTreeSet<DataCentreId> = all.collect();
    let known = gateway.state().target_table.evacuations().names();
    let uncovered = known.into_iter().filter(|name| !listing.covers(name));
    all.extend(uncovered);
    let now = gateway.now();
    if !is_settled(gateway, now) {
        let known = gateway.state().target_table.evacuations().names();
        if known.iter().any(|name| !all.contains(name)) {
            return false;
        }
    }
    let changes = gateway
        .state()
        .target_table
        .apply_evacuations(now, listing.version, &all);
    note(gateway, &changes, "store");
    true
}

/// Returns whether entries that a listing lacks were removed, and are not merely missing from a
/// restored copy.
fn is_settled(gateway: &Gateway, now: Duration) -> bool {
    let history = gateway.store.history();
    let mut state = gateway.state();
    let listed = state.evacuated_listed.get_or_insert((history, None));
    if listed.0 != history {
        *listed = (history, Some(now));
    }
    let restored_at = listed.1;
    restored_at.is_none_or(|at| now.saturating_sub(at) >= RESTORED_WAIT)
}

/// Applies the changes of a watch up to a version.
pub(crate) fn apply_changes(gateway: &Gateway, changes: &[Change], version: Version) {
    let changes: Vec<(DataCentreId, bool)> = changes
        .iter()
        .filter_map(|change| {
            let (name, is_evacuated) = match change {
                Change::Put(object) => (&object.name, true),
                Change::Gone(name) => (name, false),
            };
            Some((read(gateway, name, version)?, is_evacuated))
        })
        .collect();
    let now = gateway.now();
    let table = &mut gateway.state().target_table;
    let changes = table.apply_evacuation_changes(now, version, &changes);
    note(gateway, &changes, "store");
}

/// Applies a peer's list of evacuated data centres.
pub(crate) fn apply_report(gateway: &Gateway, version: Version, reported: &[String], source: &str) {
    let all = reported.iter().cloned().collect();
    let now = gateway.now();
    let changes = gateway
        .state()
        .target_table
        .apply_evacuations(now, version, &all);
    note(gateway, &changes, source);
}

fn read(gateway: &Gateway, name: &str, version: Version) -> Option<DataCentreId> {
    match gateway.directory.evacuated(name) {
        Ok(data_centre) => Some(data_centre),
        Err(error) => {
            note_refused(gateway, name, version, &error);
            None
        }
    }
}

/// Records that an entry names no data centre, once for each distinct fault.
fn note_refused(gateway: &Gateway, name: &str, version: Version, error: &str) {
    let fault = fault(error);
    let before = gateway.state().evacuated_fault.replace(fault.clone());
    if before.as_ref() != Some(&fault) {
        gateway.metrics.refused(Stored::Evacuated);
        log_refused(gateway, name, version, &fault);
    }
}

/// Logs changes and triggers a digest to peers.
fn note(gateway: &Gateway, changes: &EvacuationChanges, source: &str) {
    if changes.is_empty() {
        return;
    }
    let evacuated = changes.evacuated.iter();
    let evacuated = evacuated.map(|name| (EventCode::DataCentreEmptied, name));
    let taken_back = changes.taken_back.iter();
    let taken_back = taken_back.map(|name| (EventCode::DataCentreTakenBack, name));
    for (code, name) in evacuated.chain(taken_back) {
        gateway.log(code, &[("data_centre", name), ("source", source)]);
    }
    gateway.gossip_wanted.notify_one();
}
