//! Requests loans from lenders and reports their ends.

mod ending;
mod silent;

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use crate::LoanNumber;
use crate::loan::{LoanAnswer, LoanAsk, LoanEnd, LoanEnds, LoanEndsTaken, LoanOutcome};
use crate::placement::Candidate;
use ending::Ending;
use silent::Silent;

/// Largest number of ends in one message: about 1 KB.
const ENDS_MAX: usize = 64;

/// Requests loans from lenders and reports their ends.
#[derive(Debug)]
pub struct Borrower {
    incarnation: Incarnation,
    last_number: LoanNumber,
    asks: BTreeMap<LoanNumber, Asked>,
    ends: BTreeMap<LoanNumber, Ending>,
    silent: Silent,
}

/// A request whose loan has not ended.
#[derive(Debug)]
struct Asked {
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
            asks: BTreeMap::new(),
            ends: BTreeMap::new(),
            silent: Silent::default(),
        }
    }

    /// Creates the request for a call's tokens, to be sent to a lender.
    pub fn ask(&mut self, lender: &Candidate, account: &str, tokens: u64, rank: u8) -> LoanAsk {
        self.last_number += 1;
        let asked = Asked {
            lender: lender.instance.clone(),
            address: lender.address,
            outcome: None,
        };
        self.asks.insert(self.last_number, asked);
        LoanAsk {
            number: self.last_number,
            account: account.to_owned(),
            tokens,
            rank: u32::from(rank),
            is_counted: false,
        }
    }

    /// Accepts an answer; returns whether it changed the outcome of a request.
    pub fn hear(&mut self, from: &str, answer: &LoanAnswer) -> bool {
        self.silent.hear(from);
        let said = answer.said();
        let Some(asked) = self.asks.get_mut(&answer.number) else {
            return false;
        };
        // A final outcome stands: a later message was overtaken by it and says less.
        let is_final = asked.outcome.is_some_and(|had| had != LoanOutcome::Waiting);
        let is_for_another = asked.lender != from || answer.incarnation != self.incarnation;
        if is_for_another || is_final {
            return false;
        }
        let is_news = asked.outcome != Some(said);
        asked.outcome = Some(said);
        is_news
    }

    /// Returns the last outcome that the lender reported for a request; `None` before its first
    /// answer.
    #[must_use]
    pub fn outcome(&self, number: LoanNumber) -> Option<LoanOutcome> {
        self.asks.get(&number)?.outcome
    }

    /// Ends a loan whose call has finished, or a request that is given up. If the lender answered
    /// that it lent nothing, there is nothing to end.
    pub fn end(&mut self, now: Duration, number: LoanNumber, used_tokens: u64) {
        let Some(asked) = self.asks.remove(&number) else {
            return;
        };
        let may_be_lent = matches!(
            asked.outcome,
            None | Some(LoanOutcome::Lent | LoanOutcome::Waiting)
        );
        if may_be_lent {
            let end = LoanEnd {
                number,
                used_tokens,
            };
            self.ends
                .insert(number, Ending::new(now, asked.address, end));
        }
    }

    /// Returns the ends to send, by lender: new ones, and again those without an acknowledgement.
    pub fn ends_due(&mut self, now: Duration) -> Vec<(SocketAddr, LoanEnds)> {
        self.ends.retain(|_, ending| !ending.is_hopeless(now));
        let mut due: BTreeMap<SocketAddr, LoanEnds> = BTreeMap::new();
        for ending in self.ends.values_mut() {
            let ends = &mut due.entry(ending.address).or_default().ends;
            if ends.len() < ENDS_MAX
                && let Some(end) = ending.tell(now)
            {
                ends.push(end);
            }
        }
        due.retain(|_, ends| !ends.ends.is_empty());
        due.into_iter().collect()
    }

    /// Accepts a lender's acknowledgement of ends.
    pub fn ends_taken(&mut self, address: SocketAddr, taken: &LoanEndsTaken) {
        if taken.incarnation != self.incarnation {
            return;
        }
        for number in &taken.numbers {
            let ending = self.ends.get(number);
            if ending.is_some_and(|ending| ending.address == address) {
                self.ends.remove(number);
            }
        }
    }

    /// Notes that a lender has not answered in time, so that others are asked for some time.
    pub fn note_silence(&mut self, now: Duration, lender: &str) {
        self.silent.note(now, lender);
    }

    /// Returns whether a lender is currently skipped because it did not answer.
    #[must_use]
    pub fn is_silent(&self, now: Duration, lender: &str) -> bool {
        self.silent.is_silent(now, lender)
    }

    /// Returns whether no requests or loans are open and no end awaits an acknowledgement.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.asks.is_empty() && self.ends.is_empty()
    }
}
