//! Loans of a peer's tokens to a call at this instance.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_escrow::Rank;
use damaskstile_loans::{Candidate, LoanNumber, LoanOutcome};
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::outgoing::Outgoing;

/// Time after which an unanswered request is sent once more: a few round trips within a region,
/// with a margin for a busy lender.
const RESEND_AFTER: Duration = Duration::from_millis(25);
/// Time limit for a lender that fetches tokens from the store: the pause between two writes, a call
/// to the store and the messages. A longer wait means that the store is unreachable.
const TOKEN_WAIT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for any answer before another lender is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// `Loan` is a requested or granted loan of a peer's tokens to one call. When dropped, the loan
/// ends and the lender is sent the number of used tokens.
#[derive(Debug)]
pub struct Loan {
    gateway: Arc<Gateway>,
    number: LoanNumber,
    used_tokens: u64,
}

impl Loan {
    /// Requests the tokens of a call from a lender. Returns the loan if it is granted before
    /// `until` and the time limits for answers.
    ///
    /// # Errors
    ///
    /// Returns the lender's last answer, or `None` if there was none.
    pub async fn borrow(
        gateway: &Arc<Gateway>,
        lender: &Candidate,
        account: &str,
        tokens: u64,
        rank: Rank,
        until: Duration,
    ) -> Result<Self, Option<LoanOutcome>> {
        let (request, is_counted) = {
            let now = gateway.now();
            let mut state = gateway.state();
            let is_counted = state.holder.counts_demand_here(now, account);
            (
                state.borrower.request_loan(lender, account, tokens, rank),
                is_counted,
            )
        };
        let request = damaskstile_loans::LoanRequest {
            is_counted,
            ..request
        };
        let loan = Self {
            gateway: Arc::clone(gateway),
            number: request.number,
            used_tokens: 0,
        };
        let silent_at = (gateway.now() + ANSWER_TIMEOUT).min(until);
        let waits_until = (gateway.now() + TOKEN_WAIT_TIMEOUT).min(until);
        let mut again_at = Some(gateway.now() + RESEND_AFTER);
        let send = || {
            let request = Outgoing::Borrow(lender.address, request.clone());
            // A request dropped because the queue is full is treated like a lost datagram.
            let _ = gateway.outbox.try_send(request);
        };
        send();
        loop {
            let answered = gateway.loan_answers.notified();
            let now = gateway.now();
            let outcome = gateway.state().borrower.outcome(request.number);
            let limit = match outcome {
                Some(LoanOutcome::Lent) => return Ok(loan),
                Some(LoanOutcome::Waiting) => waits_until,
                Some(_) => return Err(outcome),
                None => silent_at,
            };
            if now >= limit {
                if outcome.is_none() {
                    gateway
                        .state()
                        .borrower
                        .note_no_answer(now, &lender.instance);
                }
                return Err(outcome);
            }
            if outcome.is_none() && again_at.is_some_and(|at| now >= at) {
                again_at = None;
                send();
            }
            let next = again_at.map_or(limit, |at| at.min(limit));
            // Woken by an answer, at the latest at the next time limit.
            let _ = timeout(next.saturating_sub(now), answered).await;
        }
    }

    /// Records the number of tokens that the call has used so far.
    pub fn set_used(&mut self, used_tokens: u64) {
        self.used_tokens = used_tokens;
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let now = gateway.now();
        let mut state = gateway.state();
        state.borrower.end(now, self.number, self.used_tokens);
        drop(state);
        gateway.loans_ended.notify_one();
    }
}
