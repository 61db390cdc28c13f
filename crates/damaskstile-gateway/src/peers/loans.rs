//! `loans` lends tokens to peers and borrows theirs.

use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_loans::lender::LoanId;
use damaskstile_loans::{LoanAnswer, LoanAsk, LoanEnds, LoanEndsTaken, LoanOutcome};

use super::{DatagramBody, Peers};
use crate::state::State;

/// Time for which ends are gathered, so that one message tells several.
const GATHER: Duration = Duration::from_millis(20);
/// Time between two looks at ends that were not confirmed.
const ENDS_LOOK: Duration = Duration::from_millis(250);
/// Time between two looks at asks that wait and at loans that nobody ended.
const LENDER_LOOK: Duration = Duration::from_millis(100);

impl Peers {
    /// Answers a peer that asks for a call's tokens.
    pub(super) async fn take_borrow(
        &self,
        from: &str,
        incarnation: Incarnation,
        ask: LoanAsk,
        address: SocketAddr,
    ) {
        let now = self.gateway.now();
        let answer = {
            let id = LoanId::new(from, incarnation, ask.number);
            let mut state = self.gateway.state();
            if state.is_stopping {
                Some(LoanAnswer::new(&id, LoanOutcome::Elsewhere))
            } else {
                let State { lender, holder, .. } = &mut *state;
                lender.ask(holder, now, id, address, &ask)
            }
        };
        let Some(answer) = answer else {
            return;
        };
        if answer.said() == LoanOutcome::Waiting {
            self.gateway.round_wanted.notify_one();
        }
        self.send(address, DatagramBody::Lend(answer)).await;
    }

    /// Takes in a lender's answer.
    pub(super) fn take_lend(&self, from: &str, answer: &LoanAnswer) {
        if self.gateway.state().borrower.hear(from, answer) {
            self.gateway.loans_heard.notify_waiters();
        }
    }

    /// Takes in that loans are over, and confirms it.
    pub(super) async fn take_loan_ends(
        &self,
        from: &str,
        incarnation: Incarnation,
        ends: LoanEnds,
        address: SocketAddr,
    ) {
        let now = self.gateway.now();
        let numbers = ends.ends.iter().map(|end| end.number).collect();
        {
            let mut state = self.gateway.state();
            let State { lender, holder, .. } = &mut *state;
            for end in ends.ends {
                let id = LoanId::new(from, incarnation, end.number);
                lender.end(holder, now, id, end.used_tokens);
            }
        }
        let taken = DatagramBody::LoanEndsTaken(LoanEndsTaken {
            numbers,
            incarnation,
        });
        self.send(address, taken).await;
    }

    /// Takes in that a lender has heard which loans are over.
    pub(super) fn take_loan_ends_taken(&self, taken: &LoanEndsTaken, address: SocketAddr) {
        let mut state = self.gateway.state();
        state.borrower.ends_taken(address, taken);
    }

    /// Tells lenders which loans are over, until the process ends.
    pub async fn end_loans(self: Arc<Self>) {
        loop {
            let ended = self.gateway.loans_ended.notified();
            // Either an end or the passing of time brings the next look.
            let _ = tokio::time::timeout(ENDS_LOOK, ended).await;
            tokio::time::sleep(GATHER).await;
            let now = self.gateway.now();
            let due = self.gateway.state().borrower.ends_due(now);
            for (address, ends) in due {
                self.send(address, DatagramBody::LoanEnds(ends)).await;
            }
        }
    }

    /// Answers asks that waited for tokens, until the process ends.
    pub async fn lend_later(self: Arc<Self>) {
        loop {
            let round_done = self.gateway.round_done.notified();
            // Either a round or the passing of time brings the next look.
            let _ = tokio::time::timeout(LENDER_LOOK, round_done).await;
            let now = self.gateway.now();
            let answers = {
                let mut state = self.gateway.state();
                let State { lender, holder, .. } = &mut *state;
                lender.expire(holder, now);
                lender.ask_again(holder, now)
            };
            for (address, answer) in answers {
                self.send(address, DatagramBody::Lend(answer)).await;
            }
        }
    }
}
