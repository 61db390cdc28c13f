//! Requests loans from lenders and reports their ends.

mod pending_end;
mod unresponsive;

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use crate::LoanNumber;
use crate::loan::{LoanAnswer, LoanEnd, LoanEnds, LoanEndsAck, LoanOutcome, LoanRequest};
use crate::placement::Candidate;
use pending_end::PendingEnd;
use unresponsive::UnresponsiveLenders;

/// Largest number of ends in one message: about 1 KB.
const ENDS_MAX: usize = 64;

/// Requests loans from lenders and reports their ends.
#[derive(Debug)]
pub struct Borrower {
    incarnation: Incarnation,
    last_number: LoanNumber,
    requests: BTreeMap<LoanNumber, OpenRequest>,
    ends: BTreeMap<LoanNumber, PendingEnd>,
    unresponsive: UnresponsiveLenders,
}

/// A request whose loan has not ended.
#[derive(Debug)]
struct OpenRequest {
    lender: InstanceId,
    address: SocketAddr,
    outcome: Option<LoanOutcome>,
}

impl Borrower {
    /// Creates a borrower without requests.
    ///
    /// ```
    /// assert!(damaskstile_loans::Borrower::new(1).is_settled());
    /// ```
    #[must_use]
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            last_number: 0,
            requests: BTreeMap::new(),
            ends: BTreeMap::new(),
            unresponsive: UnresponsiveLenders::default(),
        }
    }

    /// Creates the request for a call's tokens, to be sent to a lender.
    pub fn request_loan(
        &mut self,
        lender: &Candidate,
        account: &str,
        tokens: u64,
        rank: u8,
    ) -> LoanRequest {
        self.last_number += 1;
        let request = OpenRequest {
            lender: lender.instance.clone(),
            address: lender.address,
            outcome: None,
        };
        self.requests.insert(self.last_number, request);
        LoanRequest {
            number: self.last_number,
            account: account.to_owned(),
            tokens,
            rank: u32::from(rank),
            is_counted: false,
        }
    }

    /// Accepts an answer; returns whether it changed the outcome of a request.
    pub fn receive_answer(&mut self, from: &str, answer: &LoanAnswer) -> bool {
        self.unresponsive.clear(from);
        let outcome = answer.decoded_outcome();
        let Some(request) = self.requests.get_mut(&answer.number) else {
            return false;
        };
        // A final outcome stands: a later message was overtaken by it and says less.
        let is_final = request
            .outcome
            .is_some_and(|had| had != LoanOutcome::Waiting);
        let is_for_another = request.lender != from || answer.incarnation != self.incarnation;
        if is_for_another || is_final {
            return false;
        }
        let is_news = request.outcome != Some(outcome);
        request.outcome = Some(outcome);
        is_news
    }

    /// Returns the last outcome that the lender reported for a request; `None` before its first
    /// answer.
    #[must_use]
    pub fn outcome(&self, number: LoanNumber) -> Option<LoanOutcome> {
        self.requests.get(&number)?.outcome
    }

    /// Ends a loan whose call has finished, or a request that is given up. If the lender answered
    /// that it lent nothing, there is nothing to end.
    pub fn end(&mut self, now: Duration, number: LoanNumber, used_tokens: u64) {
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        let may_be_lent = matches!(
            request.outcome,
            None | Some(LoanOutcome::Lent | LoanOutcome::Waiting)
        );
        if may_be_lent {
            let end = LoanEnd {
                number,
                used_tokens,
            };
            self.ends
                .insert(number, PendingEnd::new(now, request.address, end));
        }
    }

    /// Returns the ends to send, by lender: new ones, and again those without an acknowledgement.
    pub fn ends_due(&mut self, now: Duration) -> Vec<(SocketAddr, LoanEnds)> {
        self.ends
            .retain(|_, pending_end| !pending_end.is_expired(now));
        let mut due: BTreeMap<SocketAddr, LoanEnds> = BTreeMap::new();
        for pending_end in self.ends.values_mut() {
            let ends = &mut due.entry(pending_end.address).or_default().ends;
            if ends.len() < ENDS_MAX
                && let Some(end) = pending_end.take_due(now)
            {
                ends.push(end);
            }
        }
        due.retain(|_, ends| !ends.ends.is_empty());
        due.into_iter().collect()
    }

    /// Accepts a lender's acknowledgement of ends.
    pub fn receive_ends_ack(&mut self, address: SocketAddr, ack: &LoanEndsAck) {
        if ack.incarnation != self.incarnation {
            return;
        }
        for number in &ack.numbers {
            let pending_end = self.ends.get(number);
            if pending_end.is_some_and(|pending_end| pending_end.address == address) {
                self.ends.remove(number);
            }
        }
    }

    /// Notes that a lender has not answered in time, so that others are asked for some time.
    pub fn note_no_answer(&mut self, now: Duration, lender: &str) {
        self.unresponsive.note_no_answer(now, lender);
    }

    /// Returns whether a lender is currently skipped because it did not answer.
    #[must_use]
    pub fn is_unresponsive(&self, now: Duration, lender: &str) -> bool {
        self.unresponsive.is_backed_off(now, lender)
    }

    /// Returns whether no requests or loans are open and no end awaits an acknowledgement.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.requests.is_empty() && self.ends.is_empty()
    }
}
