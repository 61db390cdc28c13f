//! Rounds: this instance's reads and writes of the ledger, or its reports to the instance that
//! writes for it.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;
use damaskstile_escrow::{Ledger, LedgerChange, Role, Round, Settlement};

use crate::clock::{BootTime, own_unix_ms};
use crate::fault::fault;
use crate::follow::{failure_pause, note_answer, note_failure};
use crate::gateway::Gateway;
use crate::ledger_fault::LedgerFault;
use crate::metrics::Stored;
use crate::objects::{ObjectStore, StoreError, StoredObject};
use crate::outgoing::Outgoing;

/// Object kind of ledgers in the store.
const LEDGER_KIND: &str = "damaskstile-ledgers";
/// Object name of the ledger.
const LEDGER_NAME: &str = "main";
/// Interval between checks whether a round is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest interval between rounds, so that refused writes do not turn into a stream of calls.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// Time after a start within which the instances of a large fleet discover each other: one digest
/// interval, with a margin for a slow start.
const START_WAIT: Duration = Duration::from_millis(500);
/// Upper bound of the additional wait per instance, in milliseconds. It keeps instances that have
/// received no digest from all writing at the same time.
const START_JITTER_MS: u64 = 600;

/// Upper bound of the random pause after a write conflict, in milliseconds: two calls to the store.
const CONFLICT_JITTER_MS: u64 = 12;

/// Runs rounds until the process ends.
pub async fn keep(gateway: Arc<Gateway>) {
    loop {
        // The next check runs when a call lacks tokens, at the latest after the interval.
        let now = gateway.now();
        let urgent_wait = gateway.state().holder.urgent_wait(now);
        let wait = urgent_wait.map_or(CHECK_INTERVAL, |wait| wait.min(CHECK_INTERVAL));
        let _ = tokio::time::timeout(wait, gateway.round_wanted.notified()).await;
        run_if_due(&gateway).await;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
}

/// Reads the ledger if needed, and writes or reports a round if one is due.
pub async fn run_if_due(gateway: &Gateway) {
    let now = gateway.now();
    let has_catalogue = gateway.state().catalogue.get().is_some();
    if !has_catalogue {
        return;
    }
    if is_backing_off(gateway) {
        return;
    }
    let writer = choose_writer(gateway);
    if writer.is_none() && !gateway.state().may_call_store(now) {
        return;
    }
    if writer.is_none() && must_wait_for_peers(gateway) && may_rely_on_peers(gateway) {
        return;
    }
    if must_read(gateway) {
        read(gateway).await;
    }
    if let Some(address) = writer {
        report(gateway, address);
        return;
    }
    // Checked again: the ledger that was just read shows how many instances there are.
    if must_wait_for_peers(gateway) || has_fault(gateway) {
        return;
    }
    // A conflict returns the current ledger, on which the next attempt is based.
    for _ in 0..3 {
        let round = next_round(gateway);
        let Some(round) = round else {
            break;
        };
        if write(gateway, round).await || has_fault(gateway) {
            break;
        }
        // Without a random pause, instances that collided would collide again.
        let jitter_ms = {
            let mut state = gateway.state();
            state.holder.make_round_due();
            state.random.below(CONFLICT_JITTER_MS)
        };
        tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
    }
    gateway.round_done.notify_waiters();
}

/// Returns whether to read the ledger: if decisions need it, or to detect that an unusable ledger
/// was repaired.
fn must_read(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let state = gateway.state();
    match &state.ledger_fault {
        Some(fault) => fault.is_read_due(now),
        None => state.holder.needs_read(now),
    }
}

/// Returns whether the stored ledger is unusable, so that nothing may be written to it.
fn has_fault(gateway: &Gateway) -> bool {
    gateway.state().ledger_fault.is_some()
}

/// Returns whether to back off from the store. Without a pause each call that lacks tokens would
/// cause a read, and all instances together thousands a second, while the store refuses.
fn is_backing_off(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let state = gateway.state();
    // If a peer writes for this instance, it does not need the store.
    let pause = failure_pause(&state);
    state.writer(now).is_none() && state.contact.is_backing_off(now, pause)
}

/// Determines the peer that writes for this instance, if any, and logs when it changes.
fn choose_writer(gateway: &Gateway) -> Option<SocketAddr> {
    let now = gateway.now();
    let mut state = gateway.state();
    let writer = state
        .writer(now)
        .map(|(name, address)| (name.clone(), address));
    let role = match writer {
        Some(_) => Role::Member,
        None => Role::Writer,
    };
    state.holder.set_role(role);
    let (name, address) = writer.unzip();
    let is_new = state.known_writer != name;
    state.known_writer.clone_from(&name);
    drop(state);
    if is_new {
        let name = name.unwrap_or_else(|| "-".to_owned());
        gateway.log(EventCode::WriterChanged, &[("writer", &name)]);
    }
    address
}

/// Returns whether a better writer may appear shortly. Just after a start, or at the end of an
/// outage, no digest has arrived yet, and all instances of a large fleet would write at the same
/// time.
fn must_wait_for_peers(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let state = gateway.state();
    let is_first_start = state.holder.instances() == 0;
    let since_start = now.saturating_sub(gateway.started_at);
    let since_outage = state.contact.since_outage(now);
    let alone_for = since_outage.map_or(since_start, |since| since.min(since_start));
    let name = &gateway.options.identity.instance;
    let jitter_ms = stable_hash(&["start", name]) % START_JITTER_MS;
    let wait = START_WAIT + Duration::from_millis(jitter_ms);
    (state.is_large_fleet() || is_first_start) && alone_for < wait
}

/// Returns whether peers may make this instance's first read of the ledger unnecessary. In a large
/// fleet they do, and until a peer is known the fleet may be large. A seed, which others contact
/// first, reads the ledger immediately.
fn may_rely_on_peers(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let state = gateway.state();
    if state.holder.ledger_age(now).is_some() || state.is_large_fleet() {
        return true;
    }
    let seeds = &gateway.options.seeds;
    let is_seed = seeds.is_empty() || seeds.contains(&gateway.options.peers_address);
    state.members.is_empty() && !is_seed
}

/// Sends pending entries to the instance that writes for this one.
fn report(gateway: &Gateway, address: SocketAddr) {
    let now = gateway.now();
    let (boot, own_unix_ms) = (BootTime::now(), own_unix_ms());
    let report = {
        let mut state = gateway.state();
        let stamp = state.stamp(now, boot, own_unix_ms);
        state.holder.next_report(now, &stamp)
    };
    if let Some(report) = report {
        // A report dropped because the queue is full is sent again, as it is not answered.
        let _ = gateway.outbox.try_send(Outgoing::Report(address, report));
    }
}

fn next_round(gateway: &Gateway) -> Option<Round> {
    let now = gateway.now();
    let (boot, own_unix_ms) = (BootTime::now(), own_unix_ms());
    let mut state = gateway.state();
    let stamp = state.stamp(now, boot, own_unix_ms);
    state.holder.next_round(now, &stamp)
}

async fn read(gateway: &Gateway) {
    match gateway.store.read(LEDGER_KIND, LEDGER_NAME).await {
        Ok(object) => {
            note_answer(gateway);
            observe(gateway, object.as_ref());
        }
        Err(error) => note_failure(gateway, &error),
    }
}

/// Processes the stored ledger; `None` if there is none.
fn observe(gateway: &Gateway, object: Option<&StoredObject>) {
    let now = gateway.now();
    let Some(object) = object else {
        gateway.state().holder.observe(now, 0, Ledger::default());
        return;
    };
    let decoded = serde_json::from_slice::<Ledger>(&object.content);
    let ledger = decoded.map_err(|error| fault(&error.to_string()));
    let mut state = gateway.state();
    let checked = ledger.and_then(|ledger| {
        // A stale copy from an earlier history lacks what was written since.
        let is_stale_copy = ledger.history < state.holder.store_history();
        let is_newer = object.version > state.holder.ledger_version();
        let fault = if is_stale_copy || !is_newer {
            ledger.fault()
        } else {
            ledger.fault_after(state.holder.ledger())
        };
        fault.map_or(Ok(ledger), |fault| Err(fault.to_owned()))
    });
    match checked {
        Ok(ledger) => {
            state.ledger_fault = None;
            state.holder.observe(now, object.version, ledger);
        }
        Err(text) => {
            drop(state);
            note_fault(gateway, object, &LedgerFault::new(now, text));
        }
    }
}

/// Records that the stored ledger is unusable; logs each distinct fault once.
fn note_fault(gateway: &Gateway, object: &StoredObject, fault: &LedgerFault) {
    let before = gateway.state().ledger_fault.replace(fault.clone());
    if before.is_some_and(|before| before.is_same(fault)) {
        return;
    }
    gateway.metrics.refused(Stored::Ledger);
    let version = object.version.to_string();
    let fields = [("error", fault.text()), ("version", version.as_str())];
    gateway.log(EventCode::LedgerInvalid, &fields);
}

/// Writes a round; returns true if another attempt is pointless for now.
async fn write(gateway: &Gateway, round: Round) -> bool {
    let number = round.number;
    let Ok(content) = serde_json::to_vec(&round.ledger) else {
        gateway.state().holder.note_not_written(number);
        return true;
    };
    let expected = round.expected_version;
    let written = gateway
        .store
        .write(LEDGER_KIND, LEDGER_NAME, expected, Bytes::from(content));
    let written = written.await;
    let round_number = number.to_string();
    let expected = expected.to_string();
    let fields = [("round", round_number.as_str()), ("on", expected.as_str())];
    match written {
        Ok(version) => {
            note_answer(gateway);
            commit(gateway, version, round);
            gateway.log(EventCode::RoundWritten, &fields);
            true
        }
        Err(StoreError::Conflict(object)) => {
            note_answer(gateway);
            gateway.state().holder.note_not_written(number);
            match object {
                Some(object) => observe(gateway, Some(&object)),
                None => read(gateway).await,
            }
            gateway.log(EventCode::RoundRefused, &fields);
            false
        }
        Err(error @ StoreError::Lost(_)) => {
            note_failure(gateway, &error);
            gateway.state().holder.note_in_doubt();
            gateway.log(EventCode::RoundInDoubt, &fields);
            true
        }
        Err(error) => {
            note_failure(gateway, &error);
            gateway.state().holder.note_not_written(number);
            gateway.log(EventCode::RoundRefused, &fields);
            true
        }
    }
}

/// Applies a committed round and notifies the peers concerned.
fn commit(gateway: &Gateway, version: Version, round: Round) {
    for settlement in &round.settlements {
        log_settlement(gateway, settlement);
    }
    let instance = &gateway.options.identity.instance;
    let change = LedgerChange::try_new(&round, instance, version);
    let reported = round.reported.clone();
    let now = gateway.now();
    let receipts = {
        let mut state = gateway.state();
        state.holder.note_written(now, version, round);
        state.holder.receipts(&reported)
    };
    // Peers that miss a change read the ledger instead; those that miss a receipt report again.
    if let Some(change) = change {
        let _ = gateway.outbox.try_send(Outgoing::Change(change));
    }
    for (address, receipt) in receipts {
        if let Ok(address) = address.parse() {
            let _ = gateway.outbox.try_send(Outgoing::Receipt(address, receipt));
        }
    }
}

fn log_settlement(gateway: &Gateway, settlement: &Settlement) {
    let longest_life = settlement.longest_life;
    let lived_ms =
        longest_life.map_or_else(|| "unknown".to_owned(), |time| time.as_millis().to_string());
    let spent_of_granted = settlement.to_string();
    let fields = [
        ("estate", settlement.entry_name.as_str()),
        ("lived_ms", lived_ms.as_str()),
        ("spent_of_granted", spent_of_granted.as_str()),
    ];
    gateway.log(EventCode::EstateSettled, &fields);
}
