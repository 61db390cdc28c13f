//! How a holder divides tokens, classifies shortages and handles writes in doubt.

mod support;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{EscrowOptions, Holder, Ledger, Round, Shortage, Stamp};
use support::{at, stamp};

const ACCOUNT: &str = "a";
const PREPAID_TOKENS: u64 = 1_000_000;
/// Default of `EscrowOptions::reserve_percent`.
const RESERVE_PERCENT: u64 = 15;

fn holder(instance: &str, incarnation: u64) -> Holder {
    let identity = Identity::new(instance, incarnation, "north");
    let mut holder = Holder::new(identity, "", EscrowOptions::default());
    holder.set_prepaid(1, BTreeMap::from([(ACCOUNT.to_owned(), PREPAID_TOKENS)]));
    holder
}

/// Returns the stamp of a machine that lost power and restarted.
fn stamp_after_power_loss(ms: u64) -> Stamp {
    Stamp {
        boot_ms: 77,
        ..stamp(ms)
    }
}

fn next_round(holder: &mut Holder, ms: u64) -> Option<Round> {
    holder.next_round(at(ms), &stamp(ms))
}

/// Returns a holder whose first write took effect as version 1.
fn started(instance: &str) -> (Holder, Round) {
    let mut holder = holder(instance, 1);
    holder.observe(at(0), 0, Ledger::default());
    let round = next_round(&mut holder, 0).unwrap();
    holder.note_written(at(5), 1, round.clone());
    (holder, round)
}

#[test]
fn an_instance_alone_gets_half_before_any_demand_is_known() {
    let (_, round) = started("one");
    let reserve = PREPAID_TOKENS * RESERVE_PERCENT / 100;
    let grant = round.ledger.holders["one"].grants_tokens[ACCOUNT];
    assert_eq!(grant, (PREPAID_TOKENS - reserve) / 2);
}

#[test]
fn a_write_in_doubt_never_leaves_more_than_either_outcome() {
    // Guards against overspending: a write that lowers a grant takes effect and its answer is lost.
    // If the instance took no answer for no effect, it would keep the larger grant while another
    // instance takes the difference.

    // Arrange
    let (mut holder, _) = started("one");
    let before = holder.free_tokens(at(60_000), ACCOUNT);
    holder.note_demand(at(100), ACCOUNT, 10, 0);

    // Act
    let round = next_round(&mut holder, 2_000).unwrap();
    holder.note_in_doubt();

    // Assert
    let grant = round.ledger.holders["one"].grants_tokens[ACCOUNT];
    assert!(grant < before);
    assert_eq!(holder.free_tokens(at(60_000), ACCOUNT), grant);
    assert_eq!(next_round(&mut holder, 9_000), None);
    assert!(holder.needs_read(at(9_000)));
}

#[test]
fn an_isolated_instance_unlocks_its_whole_grant() {
    // Guards against an isolated instance that spends only up to its ceiling: an account whose
    // calls all go to one instance would be refused throughout the isolation, although that
    // instance holds its tokens.

    // Arrange
    let (mut holder, _) = started("one");
    holder.note_demand(at(100), ACCOUNT, 400_000, 0);
    let round = next_round(&mut holder, 1_500).unwrap();
    holder.note_written(at(1_505), 2, round.clone());
    let entry = &round.ledger.holders["one"];

    // Act
    let in_touch = holder.free_tokens(at(2_000), ACCOUNT);
    let isolated = holder.free_tokens(at(10_000), ACCOUNT);

    // Assert
    assert_eq!(in_touch, entry.ceilings_tokens[ACCOUNT]);
    let whole = entry.grants_tokens[ACCOUNT];
    assert!(isolated <= whole && isolated > whole * 9 / 10);
    assert!(in_touch < isolated);
}

#[test]
fn a_write_in_doubt_is_dropped_once_another_write_took_effect() {
    // Arrange
    let (mut holder, first) = started("one");
    holder.note_demand(at(100), ACCOUNT, 10, 0);
    let round = next_round(&mut holder, 2_000).unwrap();
    holder.note_in_doubt();

    // Act: another instance wrote first, so the write in doubt can no longer take effect.
    let mut other = first.ledger.clone();
    other.catalogue_version = 1;
    holder.observe(at(3_000), 2, other);

    // Assert
    let first_grant = first.ledger.holders["one"].grants_tokens[ACCOUNT];
    assert_eq!(holder.free_tokens(at(60_000), ACCOUNT), first_grant);
    assert!(next_round(&mut holder, 3_050).is_some_and(|next| next.number > round.number));
}

/// Starts a successor at a given time, shows it its predecessor's last write and returns the ledger
/// that it writes.
fn successor_settles(round: &Round, ms: u64, stamp: &Stamp) -> Ledger {
    let mut successor = holder("one", 2);
    successor.observe(at(ms), 2, round.ledger.clone());
    let next = successor.next_round(at(ms), stamp).unwrap();
    next.ledger
}

/// Returns the last write of an instance with demand; its ceiling is below its grant.
fn last_write() -> Round {
    let (mut holder, _) = started("one");
    holder.note_demand(at(100), ACCOUNT, 400_000, 0);
    next_round(&mut holder, 1_500).unwrap()
}

#[test]
fn a_successor_gets_back_what_its_predecessor_cannot_have_spent() {
    // Guards against counting all grants of ended incarnations as spent: after a restart of all
    // instances, accounts with tokens left would be refused.

    // Arrange
    let round = last_write();
    let entry = &round.ledger.holders["one"];

    // Act
    let killed = successor_settles(&round, 2_300, &stamp(2_300));
    let after_power_loss = successor_settles(&round, 2_300, &stamp_after_power_loss(2_300));

    // Assert
    let ceiling = entry.ceilings_tokens[ACCOUNT];
    assert!(ceiling < entry.grants_tokens[ACCOUNT]);
    assert_eq!(killed.settled(ACCOUNT), ceiling);
    assert_eq!(after_power_loss.settled(ACCOUNT), ceiling);
}

#[test]
fn a_successor_without_a_usable_clock_gets_nothing_back() {
    // Guards against overspending: an instance is isolated for long, spends its whole grant and
    // loses power. If nothing bounds the time that it was alone, its successor must not take back
    // the part beyond the ceiling.

    // Arrange
    let round = last_write();
    let grant = round.ledger.holders["one"].grants_tokens[ACCOUNT];
    let mut unknown = stamp_after_power_loss(20_000);
    unknown.fleet_early_ms = None;
    unknown.fleet_late_ms = None;

    // Act
    let late = successor_settles(&round, 20_000, &stamp(20_000));
    let open = successor_settles(&round, 20_000, &unknown);

    // Assert
    assert_eq!(late.settled(ACCOUNT), grant);
    assert_eq!(open.settled(ACCOUNT), 0);
    assert!(open.granted(ACCOUNT) >= grant);
}

#[test]
fn a_shortage_is_final_only_if_no_instance_can_have_the_tokens() {
    // Arrange
    let (mut holder, _) = started("one");
    let free = holder.free_tokens(at(60_000), ACCOUNT);

    // Act and assert
    let reserve =
        |holder: &mut Holder, now, tokens| holder.try_reserve(at(now), ACCOUNT, tokens, 0);
    assert_eq!(
        reserve(&mut holder, 10, PREPAID_TOKENS + 1),
        Err(Shortage::Exhausted)
    );
    assert_eq!(reserve(&mut holder, 10, free + 1), Err(Shortage::InStore));
    assert_eq!(
        reserve(&mut holder, 60_000, PREPAID_TOKENS + 1),
        Err(Shortage::Elsewhere)
    );
}

#[test]
fn a_stopped_instance_hands_back_all_but_reservations_in_use() {
    // Arrange
    let (mut holder, _) = started("one");
    holder.try_reserve(at(10), ACCOUNT, 500, 0).unwrap();
    holder.stop();

    // Act
    let round = next_round(&mut holder, 1_000).unwrap();
    holder.note_written(at(1_005), 2, round);
    let with_run = holder.ledger().granted(ACCOUNT);
    holder.release(ACCOUNT, 500, 120);
    let last = next_round(&mut holder, 2_000).unwrap();
    holder.note_written(at(2_005), 3, last);

    // Assert
    assert_eq!(with_run, 500);
    assert_eq!(holder.ledger().granted(ACCOUNT), 0);
    assert_eq!(holder.ledger().settled(ACCOUNT), 120);
    assert!(holder.is_handed_back());
}

#[test]
fn the_last_tokens_go_to_the_most_urgent_calls() {
    // Guards against serving calls in order of arrival: long revisions that could wait would take
    // what is left after a loss of power, and short questions would be refused for the rest of the
    // account's time, although a tenth of the tokens would pay for all of them. The load is that of
    // short questions of 1,000 tokens beside revisions of 9,000.

    // Arrange
    let (mut holder, _) = started("one");
    for call in 0..40 {
        holder.note_demand(at(call * 100), ACCOUNT, 30_000, 0);
        holder.note_demand(at(call * 100), ACCOUNT, 9_000, 1);
    }
    let round = next_round(&mut holder, 4_000).unwrap();
    holder.note_written(at(4_005), 2, round);

    // Act
    let urgent = holder.try_reserve(at(4_010), ACCOUNT, 9_000, 0);
    let other = holder.try_reserve(at(4_010), ACCOUNT, 9_000, 1);

    // Assert: 8 s of urgent demand at 300,000 tokens per second exceed the remaining tokens.
    assert_eq!(urgent, Ok(()));
    assert_eq!(other, Err(Shortage::Reserved));
}

#[test]
fn exhaustion_takes_precedence_over_reservation_for_urgent_calls() {
    // Guards against callers that retry in vain: an account has a few hundred tokens left, and a
    // large call that is not among its most urgent must be told that they do not suffice, instead
    // of being told to retry because they are reserved. Exhaustion must be checked before
    // reservation.

    // Arrange: an isolated instance has spent its whole grant and then sees the ledger again.
    let (mut holder, round) = started("one");
    let granted = holder.granted_free_tokens(ACCOUNT);
    assert_eq!(holder.try_reserve(at(20_000), ACCOUNT, granted, 0), Ok(()));
    holder.release(ACCOUNT, granted, granted);
    holder.note_demand(at(20_000), ACCOUNT, PREPAID_TOKENS, 0);
    holder.observe(at(20_050), 1, round.ledger);
    let left = PREPAID_TOKENS - granted;

    // Act
    let lacking = holder.try_reserve(at(20_200), ACCOUNT, left + 1, 1);
    let kept = holder.try_reserve(at(20_200), ACCOUNT, left, 1);

    // Assert
    assert_eq!(lacking, Err(Shortage::Exhausted));
    assert_eq!(kept, Err(Shortage::Reserved));
}

#[test]
fn a_successor_reserves_the_last_tokens_for_urgent_calls_at_once() {
    // Guards against a successor that does not know the earlier demand: fewer than a quarter of the
    // requests that came 12 s after all instances were killed were served. An isolation and the
    // kill had left little of each budget. Any first call counted as the most urgent and any rest
    // as plenty, so the first calls, long ones among them, took it at once.

    // Arrange: a predecessor whose urgent calls request all remaining tokens within eight seconds.
    let (mut before, _) = started("one");
    for call in 0..40 {
        before.note_demand(at(call * 100), ACCOUNT, 30_000, 0);
        before.note_demand(at(call * 100), ACCOUNT, 9_000, 1);
    }
    let round = next_round(&mut before, 4_000).unwrap();
    let mut after = holder("one", 2);

    // Act
    after.observe(at(9_000), 2, round.ledger);
    after.note_demand(at(9_010), ACCOUNT, 9_000, 1);
    let other = after.try_reserve(at(9_010), ACCOUNT, 9_000, 1);
    after.note_demand(at(9_020), ACCOUNT, 9_000, 0);
    let urgent = after.try_reserve(at(9_020), ACCOUNT, 9_000, 0);

    // Assert: the urgent call waits for the tokens in the store.
    assert_eq!(other, Err(Shortage::Reserved));
    assert_eq!(urgent, Err(Shortage::InStore));
}

#[test]
fn transferred_tokens_leave_the_sender_and_are_spent_first() {
    // Guards against overspending: sender and receiver of a transfer must not spend the same
    // tokens.

    // Arrange
    let (mut sender, _) = started("one");
    let mut receiver = holder("two", 1);
    let before = sender.free_tokens(at(10), ACCOUNT);

    // Act
    let transferred = sender.transfer_out(at(10), ACCOUNT, before / 2);
    receiver.accept_transfer(ACCOUNT, transferred);
    receiver
        .try_reserve(at(10), ACCOUNT, transferred, 0)
        .unwrap();
    receiver.release(ACCOUNT, transferred, transferred);

    // Assert
    assert_eq!(transferred, before / 2);
    assert_eq!(sender.free_tokens(at(10), ACCOUNT), before - transferred);
    assert_eq!(receiver.free_tokens(at(10), ACCOUNT), 0);
    // The receiver spent the sender's tokens, so it settles nothing itself.
    receiver.observe(at(20), 0, Ledger::default());
    let round = next_round(&mut receiver, 20).unwrap();
    assert_eq!(round.ledger.settled(ACCOUNT), 0);
}

#[test]
fn settling_uses_the_stored_unlock_rate_and_the_clock_margin() {
    // Guards against overspending: an instance in a small fleet is isolated and ends, and its
    // successor starts in a larger fleet, where isolated instances wait longer. The successor must
    // settle with the unlock rate stored with the grant, and must allow for the error of the
    // clocks.

    // Arrange
    let round = last_write();
    let entry = &round.ledger.holders["one"];
    let (ceiling, grant) = (entry.ceilings_tokens[ACCOUNT], entry.grants_tokens[ACCOUNT]);
    let mut crowded = round.clone();
    for index in 0..40 {
        let other = damaskstile_escrow::HolderEntry::default();
        crowded.ledger.holders.insert(format!("i{index}"), other);
    }
    // The write was made at 1,500 ms. The grant is unlocked from 1,200 ms after it.
    let since_ms = 4_000;
    let margin_ms = 300;

    // Act
    let settled = successor_settles(&crowded, 1_500 + since_ms, &stamp(1_500 + since_ms));
    let at_the_edge = successor_settles(&round, 2_600, &stamp(2_600));

    // Assert
    let unlocked = (grant - ceiling) * (since_ms + margin_ms - 1_200) / 7_500;
    assert!(settled.settled(ACCOUNT).abs_diff(ceiling + unlocked) <= grant / 900);
    assert!(at_the_edge.settled(ACCOUNT) > ceiling);
}

#[test]
fn a_reset_boot_clock_bounds_no_time() {
    // Guards against overspending: an instance writes soon after its machine started, is isolated
    // for long and loses power, and its successor starts when the new boot clock shows slightly
    // more. Readings of different boots must not be compared.

    // Arrange
    let before = stamp(1_000);
    let mut after = stamp(60_000);
    after.boot_ms = 1_500;

    // Act and assert
    assert_eq!(before.until(&after), Some(at(59_000)));
    after.fleet_late_ms = None;
    assert_eq!(before.until(&after), None);
}

#[test]
fn an_instance_with_an_older_catalogue_grants_itself_nothing() {
    // Guards against overspending: a prepaid amount was lowered, and an instance that was cut off
    // still has the old one. It must not write with it.

    // Arrange
    let (_, round) = started("one");
    let mut newer = round.ledger.clone();
    newer.catalogue_version = 9;
    let mut behind = holder("two", 1);

    // Act
    behind.observe(at(100), 5, newer);

    // Assert
    assert_eq!(next_round(&mut behind, 100), None);
}

#[test]
fn the_stored_ledger_keeps_its_field_names() {
    // Guards against renamed fields in stored data, which instances of other versions refuse.

    // Act
    let (_, round) = started("one");
    let ledger = serde_json::to_value(&round.ledger).unwrap();

    // Assert
    let names = |value: &serde_json::Value| -> Vec<String> {
        value.as_object().unwrap().keys().cloned().collect()
    };
    assert_eq!(
        names(&ledger),
        ["catalogue_version", "estates", "holders", "settled_tokens"]
    );
    assert_eq!(
        names(&ledger["holders"]["one"]),
        [
            "address",
            "ceilings_tokens",
            "data_centre",
            "demand_tokens_per_s",
            "grants_tokens",
            "incarnation",
            "pace",
            "round",
            "settled_tokens",
            "stamp",
            "urgent_tokens_per_s"
        ]
    );
}
