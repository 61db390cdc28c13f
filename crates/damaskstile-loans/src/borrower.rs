//! `borrower` asks lenders for tokens and tells them when loans are over.

mod ending;
mod silent;

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use crate::LoanNumber;
use crate::loan::{LoanAnswer, LoanAsk, LoanEnd, LoanEnds, LoanEndsTaken, LoanOutcome};
use crate::placement::Candidate;
use ending::Ending;
use silent::Silent;

/// Ends in one message: about 1 KB.
const ENDS_MAX: usize = 64;

/// `Borrower` asks lenders for tokens and tells them when loans are over.
#[derive(Debug)]
pub struct Borrower {
    incarnation: Incarnation,
    last_number: LoanNumber,
    asks: BTreeMap<LoanNumber, Asked>,
    ends: BTreeMap<LoanNumber, Ending>,
    silent: Silent,
}

/// `Asked` is an ask whose loan is not over.
#[derive(Debug)]
struct Asked {
    lender: InstanceId,
    address: SocketAddr,
    outcome: Option<LoanOutcome>,
}

impl Borrower {
    /// Makes a borrower that has asked nobody.
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

    /// Makes the ask for a call's tokens, to be sent to a lender.
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

    /// Takes in an answer; returns whether it is news.
    pub fn hear(&mut self, from: &str, answer: &LoanAnswer) -> bool {
        self.silent.hear(from);
        let said = answer.said();
        let Some(asked) = self.asks.get_mut(&answer.number) else {
            return false;
        };
        // A message that comes late says less than the one that overtook it.
        let is_final = asked.outcome.is_some_and(|had| had != LoanOutcome::Waiting);
        let is_for_another = asked.lender != from || answer.incarnation != self.incarnation;
        if is_for_another || is_final {
            return false;
        }
        let is_news = asked.outcome != Some(said);
        asked.outcome = Some(said);
        is_news
    }

    /// Returns what the lender said to an ask last; `None` while it has said nothing.
    #[must_use]
    pub fn outcome(&self, number: LoanNumber) -> Option<LoanOutcome> {
        self.asks.get(&number)?.outcome
    }

    /// Ends a loan whose call is over, or an ask that is given up. Where the lender said that it
    /// lent nothing there is nothing to end.
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

    /// Returns the ends to tell, by lender: those that were not told, and again those without a
    /// confirmation.
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

    /// Takes in that a lender has heard of ends.
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

    /// Notes that a lender has not answered in time, so that others are asked for a while.
    pub fn note_silence(&mut self, now: Duration, lender: &str) {
        self.silent.note(now, lender);
    }

    /// Tells whether a lender is passed over, since it was silent lately.
    #[must_use]
    pub fn is_silent(&self, now: Duration, lender: &str) -> bool {
        self.silent.is_silent(now, lender)
    }

    /// Tells whether all lenders know that all loans are over.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.asks.is_empty() && self.ends.is_empty()
    }
}
