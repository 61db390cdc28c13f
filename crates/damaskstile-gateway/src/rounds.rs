//! `rounds` carries this instance's writes to the ledger.

use std::sync::Arc;

use bytes::Bytes;
use damaskstile_core::prelude::*;
use damaskstile_escrow::{Ledger, LedgerChange, Round, Settlement};

use crate::clock::{BootTime, own_unix_ms};
use crate::follow::{note_answer, note_failure};
use crate::gateway::Gateway;
use crate::objects::{StoreError, StoredObject};

/// Kind under which ledgers are stored.
const LEDGER_KIND: &str = "damaskstile-ledgers";
/// Name of the one ledger.
const LEDGER_NAME: &str = "main";
/// Time between two looks at whether a round is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two calls, so that refusals do not become a stream of calls.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest pause after a conflict: two calls to the store.
const CONFLICT_JITTER_MS: u64 = 12;

/// Writes rounds until the process ends.
pub async fn keep(gateway: Arc<Gateway>) {
    loop {
        // Either a call that lacks tokens or the passing of time brings the next look.
        let _ = tokio::time::timeout(LOOK_INTERVAL, gateway.round_wanted.notified()).await;
        look(&gateway).await;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
}

/// Reads the ledger if that is needed and writes a round if one is due.
pub async fn look(gateway: &Gateway) {
    let now = gateway.now();
    let has_catalogue = gateway.state().catalogue.get().is_some();
    if !has_catalogue {
        return;
    }
    let needs_read = gateway.state().holder.needs_read(now);
    if needs_read {
        read(gateway).await;
    }
    // A conflict shows the ledger as it is, so the second try is made on that.
    for _ in 0..3 {
        let round = next_round(gateway);
        let Some(round) = round else {
            break;
        };
        if write(gateway, round).await {
            break;
        }
        // Instances that collided would collide again if all came back at once.
        let jitter_ms = {
            let mut state = gateway.state();
            state.holder.hurry();
            state.random.below(CONFLICT_JITTER_MS)
        };
        tokio::time::sleep(Duration::from_millis(jitter_ms)).await;
    }
    gateway.round_done.notify_waiters();
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

/// Takes in the ledger as stored; `None` where there is none.
fn observe(gateway: &Gateway, object: Option<&StoredObject>) {
    let now = gateway.now();
    let Some(object) = object else {
        gateway.state().holder.observe(now, 0, Ledger::default());
        return;
    };
    match serde_json::from_slice::<Ledger>(&object.content) {
        Ok(ledger) => gateway.state().holder.observe(now, object.version, ledger),
        Err(error) => {
            let error = error.to_string();
            gateway.log(EventCode::LedgerInvalid, &[("error", &error)]);
        }
    }
}

/// Writes a round; returns whether another try makes no sense now.
async fn write(gateway: &Gateway, round: Round) -> bool {
    let number = round.number;
    let Ok(content) = serde_json::to_vec(&round.ledger) else {
        gateway.state().holder.not_written(number);
        return true;
    };
    let expected = round.expected_version;
    let written = gateway
        .store
        .write(LEDGER_KIND, LEDGER_NAME, expected, Bytes::from(content));
    let written = written.await;
    let name = number.to_string();
    let expected = expected.to_string();
    let fields = [("round", name.as_str()), ("on", expected.as_str())];
    match written {
        Ok(version) => {
            note_answer(gateway);
            let instance = &gateway.options.identity.instance;
            let follows = round.expected_version;
            if let Some(change) = LedgerChange::try_new(&round.ledger, instance, follows, version) {
                // Peers that miss it read the ledger instead.
                let _ = gateway.changes.try_send(change);
            }
            for settlement in &round.settlements {
                note_settlement(gateway, settlement);
            }
            let now = gateway.now();
            gateway.state().holder.written(now, version, round);
            gateway.log(EventCode::RoundWritten, &fields);
            true
        }
        Err(StoreError::Conflict(object)) => {
            note_answer(gateway);
            gateway.state().holder.not_written(number);
            match object {
                Some(object) => observe(gateway, Some(&object)),
                None => read(gateway).await,
            }
            gateway.log(EventCode::RoundRefused, &fields);
            false
        }
        Err(error @ StoreError::Lost(_)) => {
            note_failure(gateway, &error);
            gateway.state().holder.in_doubt();
            gateway.log(EventCode::RoundInDoubt, &fields);
            true
        }
        Err(error) => {
            note_failure(gateway, &error);
            gateway.state().holder.not_written(number);
            gateway.log(EventCode::RoundRefused, &fields);
            true
        }
    }
}

fn note_settlement(gateway: &Gateway, settlement: &Settlement) {
    let lived = settlement.lived;
    let lived_ms = lived.map_or_else(|| "unknown".to_owned(), |time| time.as_millis().to_string());
    let spent_of_granted = settlement.to_string();
    let fields = [
        ("estate", settlement.estate.as_str()),
        ("lived_ms", lived_ms.as_str()),
        ("spent_of_granted", spent_of_granted.as_str()),
    ];
    gateway.log(EventCode::EstateSettled, &fields);
}
