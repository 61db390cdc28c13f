//! In a large fleet a few instances write to the ledger, and the others have theirs from them.

use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{EscrowOptions, Holder, HolderEntry, Ledger, Stamp};

/// Instances of a grown deployment of today, in three data centres.
const INSTANCES: usize = 73;
const ACCOUNT: &str = "a";
const DATA_CENTRES: [&str; 3] = ["x", "y", "z"];

fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    for index in 0..INSTANCES {
        let entry = HolderEntry {
            data_centre: DATA_CENTRES[index % 3].to_owned(),
            address: format!("10.0.0.{index}:7200"),
            ..HolderEntry::default()
        };
        ledger.holders.insert(format!("i{index}"), entry);
    }
    ledger
}

fn holder(index: usize) -> Holder {
    let identity = Identity::new(&format!("i{index}"), 1, DATA_CENTRES[index % 3]);
    let mut holder = Holder::new(identity, "", EscrowOptions::default());
    holder.set_prepaid(1, BTreeMap::from([(ACCOUNT.to_owned(), 10_000_000)]));
    holder.observe(Duration::ZERO, 1, ledger());
    holder
}

#[test]
fn all_instances_agree_on_three_writers_in_each_data_centre() {
    // Symptom: nearly every write to the ledger is refused, since another came first. Cause: all
    // of 73 instances write to one object.

    // Arrange
    let holders: Vec<Holder> = (0..INSTANCES).map(holder).collect();

    // Act
    let writers = holders.iter().filter(|holder| holder.is_steward()).count();

    // Assert
    assert_eq!(writers, 3 * DATA_CENTRES.len());
    let addresses = holders[0].steward_addresses();
    assert!(
        holders
            .iter()
            .all(|holder| holder.steward_addresses() == addresses)
    );
}

#[test]
fn the_others_ask_ahead_of_their_need_and_take_nothing_from_the_ledger() {
    // Arrange
    let mut holders: Vec<Holder> = (0..INSTANCES).map(holder).collect();
    let steward = holders.iter().position(Holder::is_steward).unwrap();
    let other = holders.iter().position(|one| !one.is_steward()).unwrap();
    let now = Duration::from_secs(1);
    let round = holders[steward].next_round(now, &Stamp::default()).unwrap();
    holders[steward].written(now, 2, round);
    holders[other].note_demand(now, ACCOUNT, 9_000, 0);

    // Act
    let lacking = holders[other].lacking_tokens(now)[ACCOUNT];
    let given = holders[steward].answer_ask(now, ACCOUNT, lacking);
    holders[other].take(ACCOUNT, given);
    let lacking_after = holders[other].lacking_tokens(now);
    let reserved = holders[other].try_reserve(now, ACCOUNT, 9_000, 0);
    let round = holders[other].next_round(now, &Stamp::default()).unwrap();

    // Assert
    assert_eq!(given, lacking);
    assert_eq!(reserved, Ok(()));
    assert!(lacking_after.is_empty());
    let name = format!("i{other}");
    assert!(round.ledger.holders[&name].grants_tokens.is_empty());
}
