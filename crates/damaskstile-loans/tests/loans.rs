//! How a lender and a borrower handle each other's messages.

use std::net::SocketAddr;
use std::time::Duration;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{EscrowOptions, Holder, Ledger, Stamp};
use damaskstile_loans::lender::{LOAN_LIFE, LoanId};
use damaskstile_loans::{
    Borrower, Candidate, Lender, LoanAnswer, LoanEndsAck, LoanOutcome, LoanRequest, Placement,
};

const ACCOUNT: &str = "a";
const PREPAID_TOKENS: u64 = 1_000_000;
const CALL_TOKENS: u64 = 9_000;
/// Instances and data centres of a large deployment.
const INSTANCES: usize = 295;
const DATA_CENTRES: usize = 5;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(index: usize) -> SocketAddr {
    let (high, low) = (index / 250, index % 250 + 1);
    format!("10.0.{high}.{low}:7200").parse().unwrap()
}

fn candidate(index: usize) -> Candidate {
    let data_centre = format!("d{}", index % DATA_CENTRES);
    Candidate::new(&format!("i{index:03}"), address(index), &data_centre)
}

fn candidates() -> Vec<Candidate> {
    (0..INSTANCES).map(candidate).collect()
}

fn stamp() -> Stamp {
    Stamp {
        boot_ms: 1,
        unix_ms: 1,
        ..Stamp::default()
    }
}

/// Returns a holder that holds tokens of the account itself.
fn holder() -> Holder {
    let identity = Identity::new("lender", 1, "north");
    let mut holder = Holder::new(identity, "", EscrowOptions::default());
    holder.set_prepaid(1, BTreeMap::from([(ACCOUNT.to_owned(), PREPAID_TOKENS)]));
    holder.observe(at(0), 0, Ledger::default());
    (0..9).for_each(|_| holder.note_demand(at(0), ACCOUNT, CALL_TOKENS, 0));
    let round = holder.next_round(at(0), &stamp()).unwrap();
    holder.note_written(at(0), 1, round);
    assert!(holder.free_tokens(at(0), ACCOUNT) >= 3 * CALL_TOKENS);
    holder
}

fn request(number: u64) -> LoanRequest {
    LoanRequest {
        number,
        account: ACCOUNT.to_owned(),
        tokens: CALL_TOKENS,
        rank: 0,
        is_counted: false,
    }
}

fn id(number: u64) -> LoanId {
    LoanId::new("borrower", 7, number)
}

fn lend(lender: &mut Lender, holder: &mut Holder, ms: u64, number: u64) -> Option<LoanOutcome> {
    let answer = lender.handle_request(holder, at(ms), id(number), address(1), &request(number));
    answer.map(|answer| answer.decoded_outcome())
}

#[test]
fn a_repeated_request_gets_one_loan() {
    // Guards against tokens that are lent and never spent: an answer is late, the borrower repeats
    // its request, and each request would get a loan.

    // Arrange
    let (mut lender, mut holder) = (Lender::default(), holder());
    let before = holder.free_tokens(at(10), ACCOUNT);

    // Act
    let said = [(); 2].map(|()| lend(&mut lender, &mut holder, 10, 1));

    // Assert
    assert_eq!(said, [Some(LoanOutcome::Lent); 2]);
    assert_eq!(holder.free_tokens(at(10), ACCOUNT), before - CALL_TOKENS);
}

#[test]
fn unused_tokens_return_and_a_request_after_the_end_gets_nothing() {
    // Guards against tokens that are blocked for a minute: a borrower gives up and reports the end,
    // and the network then delivers its repeated request, which would get a loan that nobody ends.

    // Arrange
    let (mut lender, mut holder) = (Lender::default(), holder());
    let before = holder.free_tokens(at(10), ACCOUNT);
    lend(&mut lender, &mut holder, 10, 1);

    // Act
    lender.end(&mut holder, at(20), id(1), 1_000);
    lender.end(&mut holder, at(21), id(1), 1_000);
    let late = lend(&mut lender, &mut holder, 30, 1);

    // Assert
    assert_eq!(late, None);
    assert_eq!(holder.free_tokens(at(30), ACCOUNT), before - 1_000);
}

#[test]
fn a_lender_that_does_not_know_the_account_lends_nothing() {
    // Guards against overspending just after all instances were killed: a lender restarts and is
    // asked before it has read which accounts are prepaid. The holder sets no bound on an account
    // that it does not know to be prepaid, so any request would be granted.

    // Arrange
    let mut lender = Lender::default();
    let identity = Identity::new("lender", 1, "north");
    let mut holder = Holder::new(identity, "", EscrowOptions::default());

    // Act
    let said = lend(&mut lender, &mut holder, 10, 1);

    // Assert
    assert_eq!(
        (said, lender.open_loans()),
        (Some(LoanOutcome::Elsewhere), 0)
    );
}

#[test]
fn a_loan_without_a_reported_end_counts_as_used() {
    // Arrange
    let (mut lender, mut holder) = (Lender::default(), holder());
    lend(&mut lender, &mut holder, 10, 1);
    assert_eq!(lender.expire(&mut holder, at(9) + LOAN_LIFE), 0);

    // Act
    let expired = lender.expire(&mut holder, at(10) + LOAN_LIFE);
    lender.end(&mut holder, at(20) + LOAN_LIFE, id(1), 0);

    // Assert: an end that is reported later returns nothing.
    assert_eq!((expired, lender.open_loans()), (1, 0));
    assert_eq!(holder.reserved_tokens(ACCOUNT), 0);
    let claimed = holder.next_round(at(20) + LOAN_LIFE, &stamp()).unwrap();
    assert_eq!(claimed.ledger.settled(ACCOUNT), CALL_TOKENS);
}

#[test]
fn a_request_waits_for_the_store_and_is_answered_with_tokens() {
    // Arrange: the lender has nothing yet.
    let mut lender = Lender::default();
    let identity = Identity::new("lender", 1, "north");
    let mut holder = Holder::new(identity, "", EscrowOptions::default());
    holder.set_prepaid(1, BTreeMap::from([(ACCOUNT.to_owned(), PREPAID_TOKENS)]));
    holder.observe(at(0), 0, Ledger::default());
    let first = lend(&mut lender, &mut holder, 10, 1);
    let before = lender.retry_waiting(&mut holder, at(20));

    // Act
    let round = holder.next_round(at(30), &stamp()).unwrap();
    holder.note_written(at(40), 1, round);
    let answers = lender.retry_waiting(&mut holder, at(40));

    // Assert
    assert_eq!((first, before.len()), (Some(LoanOutcome::Waiting), 0));
    assert_eq!(
        answers,
        [(address(1), LoanAnswer::new(&id(1), LoanOutcome::Lent))]
    );
    assert!(!lender.has_waiting());
}

#[test]
fn a_late_answer_brings_nothing_and_ends_repeat_until_acknowledged() {
    // Guards against two calls that spend one loan: a call gives up its request and the answer
    // comes late. It must not be kept for the next call.

    // Arrange
    let mut borrower = Borrower::new(7);
    let number = borrower
        .request_loan(&candidate(1), ACCOUNT, CALL_TOKENS, 0)
        .number;
    borrower.end(at(50), number, 0);

    // Act
    let lender = candidate(1).instance;
    let is_news =
        borrower.receive_answer(&lender, &LoanAnswer::new(&id(number), LoanOutcome::Lent));
    let sent = [50, 60, 400].map(|ms| borrower.ends_due(at(ms)).len());
    let ack = |incarnation| LoanEndsAck {
        numbers: vec![number],
        incarnation,
    };
    borrower.receive_ends_ack(address(2), &ack(7));
    borrower.receive_ends_ack(address(1), &ack(6));
    let is_settled_by_another = borrower.is_settled();
    borrower.receive_ends_ack(address(1), &ack(7));

    // Assert
    assert!(!is_news);
    assert_eq!(borrower.outcome(number), None);
    assert_eq!(sent, [1, 0, 1]);
    assert!(!is_settled_by_another && borrower.is_settled());
}

#[test]
fn an_answer_to_an_earlier_incarnation_brings_nothing() {
    // Guards against overspending: a borrower requests a short call's tokens and is killed. Its
    // successor requests a long call's tokens under the same number, and then the answer to the
    // first request arrives. Answers must name the incarnation that they are for.

    // Arrange
    let mut successor = Borrower::new(8);
    let number = successor
        .request_loan(&candidate(1), ACCOUNT, CALL_TOKENS, 0)
        .number;
    assert_eq!(number, id(1).number);

    // Act
    let late = LoanAnswer::new(&id(1), LoanOutcome::Lent);
    let is_news = successor.receive_answer(&candidate(1).instance, &late);

    // Assert
    assert!(!is_news);
    assert_eq!(successor.outcome(number), None);
}

#[test]
fn an_unresponsive_lender_is_skipped_for_doubling_times() {
    // Arrange
    let mut borrower = Borrower::new(7);
    let is_unresponsive = |borrower: &Borrower, ms| borrower.is_unresponsive(at(ms), "i001");

    // Act and assert
    borrower.note_no_answer(at(0), "i001");
    assert!(is_unresponsive(&borrower, 1_999) && !is_unresponsive(&borrower, 2_000));
    borrower.note_no_answer(at(2_000), "i001");
    assert!(is_unresponsive(&borrower, 5_999) && !is_unresponsive(&borrower, 6_000));
    borrower.note_no_answer(at(6_000), "i001");
    borrower.receive_answer("i001", &LoanAnswer::new(&id(9), LoanOutcome::Elsewhere));
    assert!(!is_unresponsive(&borrower, 6_001));
}

#[test]
fn lenders_are_the_same_in_a_data_centre_and_few_accounts_move() {
    // Arrange
    let before = Placement::new(candidates());
    let left: Vec<Candidate> = candidates().into_iter().skip(1).collect();
    let after = Placement::new(left);
    let accounts: Vec<String> = (0..1_000).map(|index| format!("account{index}")).collect();

    // Act
    let first =
        |placement: &Placement, account: &str| placement.lenders(account, "d0")[0].instance.clone();
    let moved = accounts
        .iter()
        .filter(|account| first(&before, account) != first(&after, account))
        .count();
    let lenders = before.lenders(ACCOUNT, "d0");

    // Assert: one instance of 59 lends a 59th of the accounts, and only those move.
    assert!(moved <= 2 * 1_000 / (INSTANCES / DATA_CENTRES), "{moved}");
    let centres: BTreeSet<&str> = lenders.iter().map(|one| one.data_centre.as_str()).collect();
    assert_eq!(
        (lenders.len(), centres.len()),
        (DATA_CENTRES + 1, DATA_CENTRES)
    );
}
