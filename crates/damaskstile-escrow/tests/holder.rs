//! Where tokens stand, what a shortage is called, and what becomes of writes in doubt.

mod support;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{EscrowOptions, Holder, Ledger, Round, Shortage, Stamp};
use support::{at, stamp};

const ACCOUNT: &str = "a";
const PREPAID_TOKENS: u64 = 1_000_000;
/// Part that stays in the store, as the options have it.
const RESERVE_PERCENT: u64 = 15;

fn holder(instance: &str, incarnation: u64) -> Holder {
    let identity = Identity::new(instance, incarnation, "north");
    let mut holder = Holder::new(identity, "", EscrowOptions::default());
    holder.set_prepaid(1, BTreeMap::from([(ACCOUNT.to_owned(), PREPAID_TOKENS)]));
    holder
}

/// Makes the stamp of a machine that lost power and started again.
fn stamp_after_power_loss(ms: u64) -> Stamp {
    Stamp {
        boot_ms: 77,
        ..stamp(ms)
    }
}

fn next_round(holder: &mut Holder, ms: u64) -> Option<Round> {
    holder.next_round(at(ms), &stamp(ms))
}

/// Makes a holder whose first write took effect as version 1.
fn started(instance: &str) -> (Holder, Round) {
    let mut holder = holder(instance, 1);
    holder.observe(at(0), 0, Ledger::default());
    let round = next_round(&mut holder, 0).unwrap();
    holder.written(at(5), 1, round.clone());
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
    // Symptom: an account gets more than it bought. Sequence: a write that lowers a grant takes
    // effect, its answer is lost, and the instance goes on with the larger grant while another
    // takes the difference. Cause: no answer was taken for no effect.

    // Arrange
    let (mut holder, _) = started("one");
    let before = holder.free_tokens(at(60_000), ACCOUNT);
    holder.note_demand(at(100), ACCOUNT, 10, 0);

    // Act
    let round = next_round(&mut holder, 2_000).unwrap();
    holder.in_doubt();

    // Assert
    let grant = round.ledger.holders["one"].grants_tokens[ACCOUNT];
    assert!(grant < before);
    assert_eq!(holder.free_tokens(at(60_000), ACCOUNT), grant);
    assert_eq!(next_round(&mut holder, 9_000), None);
    assert!(holder.needs_read(at(9_000)));
}

#[test]
fn an_isolated_instance_comes_to_its_whole_grant() {
    // Symptom: an account that is bound to one instance is refused all through an isolation
    // although that instance holds its tokens. Cause: only what lies below the ceiling is spent.

    // Arrange
    let (mut holder, _) = started("one");
    holder.note_demand(at(100), ACCOUNT, 400_000, 0);
    let round = next_round(&mut holder, 1_500).unwrap();
    holder.written(at(1_505), 2, round.clone());
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
fn a_late_write_is_recognised_and_an_outdated_one_is_forgotten() {
    // Arrange
    let (mut holder, first) = started("one");
    holder.note_demand(at(100), ACCOUNT, 10, 0);
    let round = next_round(&mut holder, 2_000).unwrap();
    holder.in_doubt();

    // Act: another instance wrote first, so the write in doubt can never take effect.
    let mut other = first.ledger.clone();
    other.catalogue_version = 1;
    holder.observe(at(3_000), 2, other);

    // Assert
    let first_grant = first.ledger.holders["one"].grants_tokens[ACCOUNT];
    assert_eq!(holder.free_tokens(at(60_000), ACCOUNT), first_grant);
    assert!(next_round(&mut holder, 3_050).is_some_and(|next| next.number > round.number));
}

/// Makes a successor that starts at a time and sees its predecessor's last write.
fn successor_settles(round: &Round, ms: u64, stamp: &Stamp) -> Ledger {
    let mut successor = holder("one", 2);
    successor.observe(at(ms), 2, round.ledger.clone());
    let next = successor.next_round(at(ms), stamp).unwrap();
    next.ledger
}

/// Makes the last write of an instance that has demand, with a ceiling below its grant.
fn last_write() -> Round {
    let (mut holder, _) = started("one");
    holder.note_demand(at(100), ACCOUNT, 400_000, 0);
    next_round(&mut holder, 1_500).unwrap()
}

#[test]
fn a_successor_gets_back_what_its_predecessor_cannot_have_spent() {
    // Symptom: after all instances restarted, accounts with money left are refused. Cause: all
    // that was granted to the ended incarnations counted as spent.

    // Arrange
    let round = last_write();
    let entry = &round.ledger.holders["one"];

    // Act
    let killed = successor_settles(&round, 2_300, &stamp(2_300));
    let powered_off = successor_settles(&round, 2_300, &stamp_after_power_loss(2_300));

    // Assert
    let ceiling = entry.ceilings_tokens[ACCOUNT];
    assert!(ceiling < entry.grants_tokens[ACCOUNT]);
    assert_eq!(killed.settled(ACCOUNT), ceiling);
    assert_eq!(powered_off.settled(ACCOUNT), ceiling);
}

#[test]
fn a_successor_that_cannot_tell_the_time_gets_nothing_back() {
    // Symptom: an account gets more than it bought. Sequence: an instance is isolated for long,
    // spends its whole grant and loses power; its successor takes the rest beyond the ceiling
    // back. Cause: nothing bounded the time that the instance was alone.

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
fn a_shortage_is_final_only_where_no_instance_can_have_the_tokens() {
    // Arrange
    let (mut holder, _) = started("one");
    let free = holder.free_tokens(at(60_000), ACCOUNT);

    // Act and assert
    let ask = |holder: &mut Holder, now, tokens| holder.try_reserve(at(now), ACCOUNT, tokens, 0);
    assert_eq!(
        ask(&mut holder, 10, PREPAID_TOKENS + 1),
        Err(Shortage::Exhausted)
    );
    assert_eq!(ask(&mut holder, 10, free + 1), Err(Shortage::InStore));
    assert_eq!(
        ask(&mut holder, 60_000, PREPAID_TOKENS + 1),
        Err(Shortage::Elsewhere)
    );
}

#[test]
fn a_stopped_instance_hands_back_all_but_what_runs() {
    // Arrange
    let (mut holder, _) = started("one");
    holder.try_reserve(at(10), ACCOUNT, 500, 0).unwrap();
    holder.stop();

    // Act
    let round = next_round(&mut holder, 1_000).unwrap();
    holder.written(at(1_005), 2, round);
    let with_run = holder.ledger().granted(ACCOUNT);
    holder.release(ACCOUNT, 500, 120);
    let last = next_round(&mut holder, 2_000).unwrap();
    holder.written(at(2_005), 3, last);

    // Assert
    assert_eq!(with_run, 500);
    assert_eq!(holder.ledger().granted(ACCOUNT), 0);
    assert_eq!(holder.ledger().settled(ACCOUNT), 120);
    assert!(holder.is_handed_back());
}

#[test]
fn the_last_tokens_go_to_the_most_urgent_calls() {
    // Symptom: after a loss of power an account's short questions are refused for the rest of its
    // time, although a tenth of its tokens would pay for all of them. Sequence: long revisions
    // that could wait take what is left. Cause: whoever came first got the last tokens.
    // The load is that of short questions of 1,000 tokens beside revisions of 9,000.

    // Arrange
    let (mut holder, _) = started("one");
    for call in 0..40 {
        holder.note_demand(at(call * 100), ACCOUNT, 30_000, 0);
        holder.note_demand(at(call * 100), ACCOUNT, 9_000, 1);
    }
    let round = next_round(&mut holder, 4_000).unwrap();
    holder.written(at(4_005), 2, round);

    // Act
    let urgent = holder.try_reserve(at(4_010), ACCOUNT, 9_000, 0);
    let other = holder.try_reserve(at(4_010), ACCOUNT, 9_000, 1);

    // Assert: 300,000 tokens a second of urgent demand for 8 s are more than what is left.
    assert_eq!(urgent, Ok(()));
    assert_eq!(other, Err(Shortage::Reserved));
}

#[test]
fn a_call_that_no_tokens_are_left_for_is_told_so_though_some_are_kept_for_others() {
    // Symptom: callers come back again and again and are refused each time. Sequence: an account
    // is spent but for a few hundred tokens; a large call that is not among its most urgent is
    // told to come back, since what is left is kept. Cause: whether tokens are kept was asked
    // before whether any are left.

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
fn a_successor_keeps_the_last_tokens_for_urgent_calls_from_its_first_call_on() {
    // Symptom: of the requests that come 12 s after all instances were killed, fewer than a quarter
    // are served. Sequence: an isolation and then the kill leave little of each budget; the first
    // calls to come, long ones among them, take it at once. Cause: a successor knew nothing of what
    // was asked for before, so any first call counted as the most urgent, and any rest as plenty.

    // Arrange: a predecessor whose urgent calls ask for all that is left in eight seconds.
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

    // Assert: the urgent call waits for the tokens that its store has.
    assert_eq!(other, Err(Shortage::Reserved));
    assert_eq!(urgent, Err(Shortage::InStore));
}

#[test]
fn tokens_that_were_handed_over_are_gone_here_and_spent_first_there() {
    // Symptom: an account gets more than it bought. Cause: giver and taker spend the same tokens.

    // Arrange
    let (mut giver, _) = started("one");
    let mut taker = holder("two", 1);
    let before = giver.free_tokens(at(10), ACCOUNT);

    // Act
    let gift = giver.give(at(10), ACCOUNT, before / 2);
    taker.take(ACCOUNT, gift);
    taker.try_reserve(at(10), ACCOUNT, gift, 0).unwrap();
    taker.release(ACCOUNT, gift, gift);

    // Assert
    assert_eq!(gift, before / 2);
    assert_eq!(giver.free_tokens(at(10), ACCOUNT), before - gift);
    assert_eq!(taker.free_tokens(at(10), ACCOUNT), 0);
    // What the taker spent was the giver's, so it settles nothing of its own.
    taker.observe(at(20), 0, Ledger::default());
    let round = next_round(&mut taker, 20).unwrap();
    assert_eq!(round.ledger.settled(ACCOUNT), 0);
}

#[test]
fn an_ended_incarnation_is_settled_by_its_own_pace_with_room_for_the_clocks_error() {
    // Symptom: an account gets more than it bought. Sequence: an instance in a small fleet is
    // isolated and dies; its successor starts in a larger one, where isolated instances wait
    // longer. Cause: the successor goes by its own pace, or takes the clocks for exact.

    // Arrange
    let round = last_write();
    let entry = &round.ledger.holders["one"];
    let (ceiling, grant) = (entry.ceilings_tokens[ACCOUNT], entry.grants_tokens[ACCOUNT]);
    let mut crowded = round.clone();
    for index in 0..40 {
        let other = damaskstile_escrow::HolderEntry::default();
        crowded.ledger.holders.insert(format!("i{index}"), other);
    }
    // The write was made at 1,500 ms. The grant is unlocked from 1,200 ms after it on.
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
fn a_boot_clock_that_began_anew_proves_nothing() {
    // Symptom: an account gets more than it bought. Sequence: an instance writes soon after its
    // machine started, is isolated for long, loses power, and its successor starts when the new
    // boot clock shows a little more. Cause: readings of two runs were taken for one.

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
    // Symptom: an account whose sum was lowered gets more than it has. Sequence: one instance
    // knows the new sum, another was cut off and still has the old one. Cause: whoever writes
    // goes by the sum that it knows.

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
