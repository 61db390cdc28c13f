//! The list of targets, as read from the store.

use damaskstile_core::prelude::*;
use damaskstile_core::time::unix_ms;
use damaskstile_targets::{Listed, Refused};

use crate::fault::fault;
use crate::gateway::Gateway;
use crate::metrics::Stored;
use crate::objects::{Listing, StoredObject};

fn decode(gateway: &Gateway, object: &StoredObject) -> Result<Listed, Refused> {
    gateway.directory.target(object).map_err(|error| Refused {
        target: object.name.clone(),
        fault: fault(&error),
    })
}

/// Applies the whole list.
pub(crate) fn apply_listing(gateway: &Gateway, listing: &Listing) {
    let objects = listing.objects.iter();
    let all: Vec<_> = objects.map(|object| decode(gateway, object)).collect();
    let count = all.iter().flatten().count().to_string();
    let now = gateway.now();
    let mut state = gateway.state();
    let is_around_outage = state.contact.is_around_outage(now);
    let refused = state.apply_listing(now, listing, all, is_around_outage);
    drop(state);
    gateway.report_streams_soon();
    for entry in refused {
        note_refused(gateway, &entry, listing.version);
    }
    let version = listing.version.to_string();
    gateway.log(
        EventCode::TargetListed,
        &[("targets", &count), ("version", &version)],
    );
}

/// Applies an entry of the list; returns whether it is news.
pub(crate) fn apply_entry(gateway: &Gateway, object: &StoredObject) -> bool {
    let now = gateway.now();
    let entry = decode(gateway, object);
    let is_ready = matches!(&entry, Ok(listed) if listed.is_ready);
    let cold_ms = entry.as_ref().map_or(0, |listed| unix_ms(listed.cold_for));
    let incarnation = entry.as_ref().map_or(None, |listed| listed.incarnation);
    let mut state = gateway.state();
    // A lagging watch may deliver entries that are older than what peers reported. An unreadable
    // entry may also lack its version; it arrived last, so it is applied.
    let has_version = object.version > 0;
    if has_version
        && !state
            .delisted_targets
            .accept_entry(object.version, &object.name)
    {
        return false;
    }
    let is_news = match entry {
        Ok(listed) => state.target_table.list(now, listed),
        Err(refused) => state.target_table.refuse(&refused),
    };
    // A valid entry may be refused too, because of other entries under its name.
    let fault = state.target_table.fault(&object.name).map(str::to_owned);
    drop(state);
    gateway.report_streams_soon();
    if !is_news {
        return false;
    }
    if let Some(fault) = fault {
        let target = object.name.clone();
        note_refused(gateway, &Refused { target, fault }, object.version);
        return true;
    }
    if cold_ms > 0 {
        let fields = [("target", &object.name), ("cold_ms", &cold_ms.to_string())];
        let fields = fields.map(|(name, value)| (name, value.as_str()));
        gateway.log(EventCode::TargetCold, &fields);
    }
    let is_ready = is_ready.to_string();
    let version = object.version.to_string();
    let incarnation = incarnation_text(incarnation);
    gateway.log(
        EventCode::TargetListed,
        &[
            ("target", &object.name),
            ("incarnation", &incarnation),
            ("ready", &is_ready),
            ("version", &version),
        ],
    );
    true
}

/// Applies the removal of a name from the list, as reported by a watch up to a version; returns
/// whether it is news.
pub(crate) fn apply_removal(gateway: &Gateway, name: &str, version: Version) -> bool {
    let now = gateway.now();
    let mut state = gateway.state();
    // A newer list names the target: it has come back since.
    if version < state.targets_version && state.target_table.is_listed(name) {
        return false;
    }
    let is_around_outage = state.contact.is_around_outage(now);
    state.target_table.unlist(now, name, is_around_outage);
    drop(state);
    gateway.gossip_wanted.notify_one();
    gateway.metrics.forget_target(name);
    let around = is_around_outage.to_string();
    gateway.log(
        EventCode::TargetUnlisted,
        &[("target", name), ("around_outage", &around)],
    );
    true
}

/// Applies entries with an earlier start than the newest known one that have stood for long.
pub(crate) fn apply_standing(gateway: &Gateway) {
    let now = gateway.now();
    let mut state = gateway.state();
    let is_around_outage = state.contact.is_around_outage(now);
    let is_watching = state.must_watch(now);
    let applied = state
        .target_table
        .apply_standing(now, is_around_outage, is_watching);
    if applied.is_empty() {
        return;
    }
    let version = state.targets_version;
    state.note_changes(version);
    drop(state);
    gateway.report_streams_soon();
    gateway.gossip_wanted.notify_one();
    for identity in applied {
        let incarnation = incarnation_text(identity.incarnation);
        let fields = [
            ("target", identity.target.as_str()),
            ("incarnation", incarnation.as_str()),
            ("cause", "later start not written again"),
        ];
        gateway.log(EventCode::TargetListed, &fields);
    }
}

/// Returns an incarnation as it is written to the logs.
pub(crate) fn incarnation_text(incarnation: Option<TargetIncarnation>) -> String {
    incarnation.map_or_else(|| "-".to_owned(), |start| start.to_string())
}

fn note_refused(gateway: &Gateway, entry: &Refused, version: Version) {
    gateway.metrics.refused(Stored::Target);
    log_refused(gateway, &entry.target, version, &entry.fault);
}

/// Logs that a stored object is unusable.
pub(crate) fn log_refused(gateway: &Gateway, name: &str, version: Version, fault: &str) {
    let version = version.to_string();
    gateway.log(
        EventCode::EntryRefused,
        &[("name", name), ("version", &version), ("error", fault)],
    );
}
