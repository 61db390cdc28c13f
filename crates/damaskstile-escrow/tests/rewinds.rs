//! A store that is restored from an older copy of itself: spend never exceeds what was bought.

mod support;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{EscrowOptions, Holder, Ledger, Role, Stamp};
use proptest::prelude::*;
use support::world::{Fate, INSTANCES, Simulation, Step, absence, config};
use support::{at, stamp};

/// Steps of one proptest case.
const STEPS: usize = 120;
/// Largest number of writes that a stale copy lacks.
const LOST_WRITES: usize = 8;
const ACCOUNT: &str = "a";
const PREPAID_TOKENS: u64 = 10_000;

/// Generates steps, with or without restarts.
fn steps(has_restarts: bool) -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(has_restarts), STEPS)
}

/// Generates steps with restarts, among which accounts leave the catalogue and come back.
fn steps_with_absences() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(prop_oneof![2 => step(true), 1 => absence()], STEPS)
}

fn step(has_restarts: bool) -> impl Strategy<Value = Step> {
    let fate = prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Held),
        1 => Just(Fate::Refused),
    ];
    prop_oneof![
        8 => (0..INSTANCES, 0..2_usize, 1..1_500_u64)
            .prop_map(|(index, account, tokens)| Step::Reserve(index, account, tokens)),
        4 => (0..INSTANCES, 0..=100_u64).prop_map(|(index, part)| Step::Finish(index, part)),
        8 => (0..INSTANCES, fate.clone())
            .prop_map(|(index, fate)| Step::Write(index, fate)),
        5 => (0..INSTANCES, 0..INSTANCES, fate)
            .prop_map(|(from, to, fate)| Step::Report(from, to, fate)),
        2 => (0..16_usize).prop_map(Step::DeliverMessage),
        1 => (0..INSTANCES).prop_map(Step::Read),
        1 => (0..8_usize).prop_map(Step::DeliverWrite),
        1 => (0..9_000_u64).prop_map(Step::Isolation),
        1 => (0..INSTANCES, 0..INSTANCES, 0..2_usize, 1..900_u64, any::<bool>()).prop_map(
            |(from, to, account, tokens, is_lost)| {
                Step::Transfer(from, to, account, tokens, is_lost)
            }
        ),
        1 => (0..2_usize, 1..3_000_u64).prop_map(|(account, tokens)| Step::TopUp(account, tokens)),
        2 => (1..LOST_WRITES, 0..6_u64)
            .prop_map(|(writes, revisions)| Step::Rewind(writes, revisions)),
        1 => (0..INSTANCES, any::<bool>()).prop_map(move |(index, is_power_loss)| {
            if has_restarts {
                Step::Restart(index, is_power_loss)
            } else {
                Step::Read(index)
            }
        }),
    ]
}

#[test]
fn spend_never_exceeds_what_was_bought_if_the_store_loses_writes() {
    // Guards against grants that the store has lost and grants again while their holders still
    // spend them.
    proptest!(config(11), |(steps in steps(false))| {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.take(step);
            simulation.check_spend();
        }
    });
}

#[test]
fn spend_never_exceeds_what_was_bought_if_instances_restart_too() {
    // Guards against ignoring what ended instances were granted after the copy was made.
    proptest!(config(13), |(steps in steps(true))| {
        let mut simulation = Simulation::new().sending_to_all();
        for step in &steps {
            simulation.take(step);
            simulation.check_spend();
        }
    });
}

#[test]
fn spend_never_exceeds_what_was_bought_if_accounts_come_and_go_too() {
    // Guards against ignoring what ended instances were granted of accounts that the catalogue
    // lacks when the ledger is rebuilt.
    proptest!(config(19), |(steps in steps_with_absences())| {
        let mut simulation = Simulation::new().sending_to_all();
        for step in &steps {
            simulation.take(step);
            simulation.check_spend();
        }
    });
}

fn holder(instance: &str, incarnation: u64) -> Holder {
    let identity = Identity::new(instance, incarnation, "north");
    let mut holder = Holder::new(identity, instance, EscrowOptions::default());
    holder.set_prepaid(1, [(ACCOUNT.to_owned(), PREPAID_TOKENS)].into());
    holder.set_store_history(1);
    holder
}

/// Lets a holder request tokens and write; returns the ledger and its version.
fn write(holder: &mut Holder, ms: u64, tokens: u64, version: Version) -> (Version, Ledger) {
    holder.note_demand(at(ms), ACCOUNT, tokens, 0);
    let _ = holder.try_reserve(at(ms), ACCOUNT, tokens, 0);
    let round = holder.next_round(at(ms), &stamp(ms)).unwrap();
    let ledger = round.ledger.clone();
    holder.note_written(at(ms), version, round);
    (version, ledger)
}

/// Returns the version with a given revision in a history.
fn version(history: u64, revision: u64) -> Version {
    (history << 40) | revision
}

#[test]
fn a_ledger_older_than_a_grant_is_rebuilt_with_the_grant() {
    // Arrange: a grant that the store loses.
    let mut one = holder("one", 1);
    one.observe(at(0), 0, Ledger::default());
    let (_, copy) = write(&mut one, 800, 500, version(1, 3));
    write(&mut one, 2_000, 3_000, version(1, 9));
    let held = one.reserved_tokens(ACCOUNT);

    // Act
    one.set_store_history(2);
    one.observe(at(3_000), version(2, 3), copy);
    let at_once = one.next_round(at(3_100), &stamp(3_100));
    let round = one.next_round(at(4_000), &stamp(4_000)).unwrap();

    // Assert
    assert!(at_once.is_none());
    assert_eq!(round.expected_version, version(2, 3));
    assert_eq!(round.ledger.history, 2);
    assert!(round.ledger.granted(ACCOUNT) + round.ledger.settled(ACCOUNT) >= held);
}

#[test]
fn an_instance_with_an_older_ledger_waits_for_one_with_the_newest() {
    // Arrange
    let mut one = holder("one", 1);
    one.observe(at(0), 0, Ledger::default());
    let (known_version, copy) = write(&mut one, 800, 500, version(1, 3));
    let mut other = holder("other", 2);
    other.observe(at(900), known_version, copy.clone());
    write(&mut one, 2_000, 3_000, version(1, 9));

    // Act
    other.note_peer_ledger_version(one.ledger_version());
    other.set_store_history(2);
    other.observe(at(3_000), version(2, 3), copy);
    let early = other.next_round(at(4_000), &stamp(4_000));
    let late = other.next_round(at(6_100), &stamp(6_100));

    // Assert: if no other instance rebuilds the ledger, it does so itself.
    assert!(early.is_none());
    assert!(late.is_some());
}

#[test]
fn nothing_more_is_granted_until_all_have_reported_their_holdings() {
    // Arrange: one of two holders rebuilds the ledger.
    let (mut one, mut other, ledger) = two_holders();
    one.set_store_history(2);
    one.observe(at(3_000), version(2, 4), ledger);
    let round = one.next_round(at(4_000), &stamp(4_000)).unwrap();
    let before = round.ledger.granted(ACCOUNT);
    let begun = round.ledger.clone();
    one.note_written(at(4_000), version(2, 5), round);

    // Act: it requests more tokens, before and after the other one has reported.
    one.note_demand(at(4_200), ACCOUNT, 4_000, 0);
    let _ = one.try_reserve(at(4_200), ACCOUNT, 4_000, 0);
    let closed = one.next_round(at(5_200), &stamp(5_200)).unwrap();
    one.note_not_written(closed.number);
    other.set_store_history(2);
    other.observe(at(5_300), version(2, 5), begun);
    let (confirmed_version, confirmed) = write(&mut other, 5_400, 1, version(2, 6));
    one.observe(at(5_500), confirmed_version, confirmed);
    let _ = one.try_reserve(at(5_600), ACCOUNT, 4_000, 0);
    let open = one.next_round(at(6_700), &stamp(6_700)).unwrap();

    // Assert
    assert!(closed.ledger.granted(ACCOUNT) <= before);
    assert!(open.ledger.unconfirmed.is_empty());
    assert!(open.ledger.granted(ACCOUNT) > before);
}

#[test]
fn a_fleet_without_memory_counts_possible_grants_as_spent() {
    // Guards against successors that trust a stale copy after all instances ended together with the
    // store.

    // Arrange
    let mut one = holder("one", 1);
    one.observe(at(0), 0, Ledger::default());
    let (_, copy) = write(&mut one, 800, 900, version(1, 3));
    let granted = copy.granted(ACCOUNT);
    let demand = copy.holders["one"].demand_tokens_per_s[ACCOUNT];

    // Act
    let mut successor = holder("one", 7);
    successor.set_store_history(2);
    successor.observe(at(5_000), version(2, 3), copy);
    let round = successor.next_round(at(9_000), &stamp(9_000)).unwrap();

    // Assert
    let settled = round.ledger.settled(ACCOUNT);
    assert!(demand > 0);
    assert!(
        settled >= granted + (demand * 10).min(PREPAID_TOKENS - granted),
        "{settled}"
    );
}

#[test]
fn an_instance_without_memory_waits_after_the_ledger_is_readable() {
    // Guards against counting the time in which no instance could write as waiting time of a new
    // instance.

    // Arrange: an instance that knows of a newer ledger while the stored one cannot be read.
    let mut one = holder("one", 1);
    one.observe(at(0), 0, Ledger::default());
    let (_, copy) = write(&mut one, 800, 500, version(1, 3));
    let mut fresh = holder("fresh", 2);
    fresh.set_store_history(2);
    fresh.note_peer_ledger_version(version(1, 9));

    // Act
    fresh.observe(at(8_000), version(2, 3), copy);
    let at_once = fresh.next_round(at(8_100), &stamp(8_100));
    let later = fresh.next_round(at(11_100), &stamp(11_100));

    // Assert
    assert!(at_once.is_none());
    assert!(later.is_some());
}

#[test]
fn a_ledger_of_an_ended_incarnation_is_not_after_its_successors() {
    // Arrange
    let mut one = holder("one", 1);
    one.observe(at(0), 0, Ledger::default());
    let (_, before) = write(&mut one, 800, 500, version(1, 3));
    let mut successor = holder("one", 2);
    successor.observe(at(2_000), version(1, 3), before.clone());
    let unknown = Stamp {
        boot_ms: 1,
        fleet_late_ms: None,
        ..stamp(2_100)
    };
    let after = successor.next_round(at(2_100), &unknown).unwrap().ledger;

    // Act and assert
    assert!(after.is_after(&before));
    assert!(!before.is_after(&after));
}

/// Returns two holders that the ledger lists, and the ledger.
fn two_holders() -> (Holder, Holder, Ledger) {
    let mut one = holder("one", 1);
    one.observe(at(0), 0, Ledger::default());
    let (known_version, ledger) = write(&mut one, 800, 500, version(1, 3));
    let mut other = holder("other", 2);
    other.observe(at(900), known_version, ledger);
    let (known_version, ledger) = write(&mut other, 1_000, 500, version(1, 4));
    one.observe(at(1_100), known_version, ledger.clone());
    (one, other, ledger)
}

#[test]
fn a_holder_keeps_grants_that_the_rebuilt_ledger_lacks() {
    // Arrange: the copy was made before the other holder was listed.
    let (_, mut other, _) = two_holders();
    let mut one = holder("one", 1);
    one.observe(at(0), 0, Ledger::default());
    let (_, copy) = write(&mut one, 800, 500, version(1, 3));
    one.set_store_history(2);
    one.observe(at(3_000), version(2, 3), copy);
    let round = one.next_round(at(4_000), &stamp(4_000)).unwrap();

    // Act
    let held = other.granted_free_tokens(ACCOUNT);
    other.set_store_history(2);
    other.observe(at(4_100), version(2, 5), round.ledger);
    let kept = other.granted_free_tokens(ACCOUNT);
    let (_, ledger) = write(&mut other, 4_200, 1, version(2, 6));

    // Assert
    assert!(held > 0);
    assert_eq!(kept, held);
    assert!(ledger.holders["other"].grants_tokens[ACCOUNT] > 0);
}

#[test]
fn a_report_from_before_the_restore_confirms_no_holdings() {
    // Guards against a late report that allows new grants before its sender has reported its
    // present holdings.

    // Arrange: a report that is in flight when the store is restored.
    let (mut one, mut other, ledger) = two_holders();
    other.set_role(Role::Member);
    other.note_demand(at(2_900), ACCOUNT, 3_000, 0);
    let _ = other.try_reserve(at(2_900), ACCOUNT, 3_000, 0);
    let late = other.next_report(at(2_950), &stamp(2_950)).unwrap();
    one.set_store_history(2);
    one.observe(at(3_000), version(2, 4), ledger);
    let round = one.next_round(at(4_000), &stamp(4_000)).unwrap();
    one.note_written(at(4_000), version(2, 5), round);

    // Act
    one.accept_report(at(4_100), late);
    let with_late = one.next_round(at(5_200), &stamp(5_200)).unwrap();
    one.note_not_written(with_late.number);
    other.set_store_history(2);
    let now = other.next_report(at(5_300), &stamp(5_300)).unwrap();
    one.accept_report(at(5_400), now);
    one.make_round_due();
    let with_both = one.next_round(at(5_500), &stamp(5_500)).unwrap();

    // Assert
    assert!(with_late.ledger.unconfirmed.contains("other"));
    assert!(with_both.ledger.unconfirmed.is_empty());
}
