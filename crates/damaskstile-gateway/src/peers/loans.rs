//! Loan messages: lends tokens to peers and borrows from them.

use std::net::SocketAddr;
use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_loans::lender::LoanId;
use damaskstile_loans::{LoanAnswer, LoanEnds, LoanEndsAck, LoanOutcome, LoanRequest};

use super::{DatagramBody, Peers};
use crate::state::State;

/// Time for which ended loans are batched into one message.
const ENDS_BATCH_DELAY: Duration = Duration::from_millis(20);
/// Interval between checks for ended loans that were not acknowledged.
const ENDS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks for waiting loan requests and for loans that were never ended.
const LENDER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Peers {
    /// Answers a peer's request for a loan of the tokens of a call.
    pub(super) async fn handle_loan_request(
        &self,
        from: &str,
        incarnation: Incarnation,
        request: LoanRequest,
        address: SocketAddr,
    ) {
        let now = self.gateway.now();
        let answer = {
            let id = LoanId::new(from, incarnation, request.number);
            let mut state = self.gateway.state();
            if state.is_stopping {
                Some(LoanAnswer::new(&id, LoanOutcome::Elsewhere))
            } else {
                let State { lender, holder, .. } = &mut *state;
                lender.handle_request(holder, now, id, address, &request)
            }
        };
        let Some(answer) = answer else {
            return;
        };
        if answer.decoded_outcome() == LoanOutcome::Waiting {
            self.gateway.round_wanted.notify_one();
        }
        self.send(address, DatagramBody::Lend(answer)).await;
    }

    /// Processes a lender's answer.
    pub(super) fn handle_loan_answer(&self, from: &str, answer: &LoanAnswer) {
        if self.gateway.state().borrower.receive_answer(from, answer) {
            self.gateway.loan_answers.notify_waiters();
        }
    }

    /// Records ended loans and acknowledges them.
    pub(super) async fn handle_loan_ends(
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
        let ack = DatagramBody::LoanEndsAck(LoanEndsAck {
            numbers,
            incarnation,
        });
        self.send(address, ack).await;
    }

    /// Processes a lender's acknowledgement of ended loans.
    pub(super) fn handle_loan_ends_ack(&self, ack: &LoanEndsAck, address: SocketAddr) {
        let mut state = self.gateway.state();
        state.borrower.receive_ends_ack(address, ack);
    }

    /// Reports ended loans to their lenders until the process ends.
    pub async fn report_ended_loans(self: Arc<Self>) {
        loop {
            let ended = self.gateway.loans_ended.notified();
            // Woken when a loan ends, at the latest after the interval.
            let _ = tokio::time::timeout(ENDS_CHECK_INTERVAL, ended).await;
            tokio::time::sleep(ENDS_BATCH_DELAY).await;
            let now = self.gateway.now();
            let due = self.gateway.state().borrower.ends_due(now);
            for (address, ends) in due {
                self.send(address, DatagramBody::LoanEnds(ends)).await;
            }
        }
    }

    /// Answers loan requests that waited for tokens, until the process ends.
    pub async fn answer_waiting_loans(self: Arc<Self>) {
        loop {
            let round_done = self.gateway.round_done.notified();
            // Woken when a round is done, at the latest after the interval.
            let _ = tokio::time::timeout(LENDER_CHECK_INTERVAL, round_done).await;
            let now = self.gateway.now();
            let answers = {
                let mut state = self.gateway.state();
                let State { lender, holder, .. } = &mut *state;
                lender.expire(holder, now);
                lender.retry_waiting(holder, now)
            };
            for (address, answer) in answers {
                self.send(address, DatagramBody::Lend(answer)).await;
            }
        }
    }
}
