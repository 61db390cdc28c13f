//! Lends tokens that this instance's holder may spend.

mod loan_id;
mod waiting;

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_escrow::Holder;

pub use loan_id::LoanId;

use crate::loan::{LoanAnswer, LoanOutcome, LoanRequest};
use waiting::Waiting;

/// Time without a report of its end after which a loan counts as used: longer than calls last, and
/// longer than a borrower repeats the end.
pub const LOAN_LIFE: Duration = Duration::from_mins(1);
/// Time for which the number of an ended loan is kept. A network that reorders messages delivers a
/// request after its end by milliseconds; for one that came later than this, a loan would stay open
/// for [`LOAN_LIFE`].
const ENDED_LIFE: Duration = Duration::from_secs(10);
/// Longest time for which a request waits for tokens from the store: borrowers wait no longer.
const WAIT_MAX: Duration = Duration::from_millis(500);

/// Lends tokens that this instance's holder may spend.
#[derive(Debug, Default)]
pub struct Lender {
    open: BTreeMap<LoanId, OpenLoan>,
    waiting: Waiting,
    ended: BTreeMap<LoanId, Duration>,
    lent_loans: u64,
}

/// A loan that has not ended.
#[derive(Debug)]
struct OpenLoan {
    account: AccountId,
    tokens: u64,
    lent_at: Duration,
}

impl Lender {
    /// Answers a request; `None` if the loan has already ended, so that no call waits for an
    /// answer.
    pub fn handle_request(
        &mut self,
        holder: &mut Holder,
        now: Duration,
        id: LoanId,
        address: SocketAddr,
        request: &LoanRequest,
    ) -> Option<LoanAnswer> {
        if self.ended.contains_key(&id) {
            return None;
        }
        if self.open.contains_key(&id) {
            return Some(LoanAnswer::new(&id, LoanOutcome::Lent));
        }
        let is_first = !self.waiting.contains(&id);
        if is_first {
            holder.note_lending(now, &request.account);
            if !request.is_counted {
                holder.note_demand(now, &request.account, request.tokens, rank(request));
            }
        }
        let outcome = self.lend(holder, now, &id, request);
        let answer = LoanAnswer::new(&id, outcome);
        if outcome == LoanOutcome::Waiting && is_first {
            self.waiting.add(now, id, address, request.clone());
        } else if outcome != LoanOutcome::Waiting {
            self.waiting.remove(&id);
        }
        Some(answer)
    }

    /// Tries the waiting requests again and answers those that no longer wait.
    pub fn retry_waiting(
        &mut self,
        holder: &mut Holder,
        now: Duration,
    ) -> Vec<(SocketAddr, LoanAnswer)> {
        let mut answers = Vec::new();
        for (id, waiting) in self.waiting.take(now, WAIT_MAX) {
            let outcome = self.lend(holder, now, &id, &waiting.request);
            if outcome == LoanOutcome::Waiting {
                self.waiting.put_back(id, waiting);
            } else {
                let answer = LoanAnswer::new(&id, outcome);
                answers.push((waiting.address, answer));
            }
        }
        answers
    }

    fn lend(
        &mut self,
        holder: &mut Holder,
        now: Duration,
        id: &LoanId,
        request: &LoanRequest,
    ) -> LoanOutcome {
        // A lender that has just started knows no accounts yet, and others may have the tokens.
        if !holder.is_prepaid(&request.account) {
            return LoanOutcome::Elsewhere;
        }
        match holder.try_reserve(now, &request.account, request.tokens, rank(request)) {
            Ok(()) => {
                self.lent_loans += 1;
                let loan = OpenLoan {
                    account: request.account.clone(),
                    tokens: request.tokens,
                    lent_at: now,
                };
                self.open.insert(id.clone(), loan);
                LoanOutcome::Lent
            }
            Err(shortage) => shortage.into(),
        }
    }

    /// Ends a loan, or a request that its borrower no longer waits for. The number of used tokens
    /// that the borrower reports counts, up to the amount lent.
    pub fn end(&mut self, holder: &mut Holder, now: Duration, id: LoanId, used_tokens: u64) {
        self.waiting.remove(&id);
        if let Some(loan) = self.open.remove(&id) {
            holder.release(&loan.account, loan.tokens, used_tokens);
        }
        self.ended.insert(id, now);
    }

    /// Counts loans as used if no end was reported for [`LOAN_LIFE`], and forgets old ends. Returns
    /// how many loans were counted.
    pub fn expire(&mut self, holder: &mut Holder, now: Duration) -> usize {
        let is_old = |since: Duration, life: Duration| now.saturating_sub(since) >= life;
        self.ended.retain(|_, at| !is_old(*at, ENDED_LIFE));
        let before = self.open.len();
        self.open.retain(|_, loan| {
            let is_kept = !is_old(loan.lent_at, LOAN_LIFE);
            if !is_kept {
                holder.release(&loan.account, loan.tokens, loan.tokens);
            }
            is_kept
        });
        before - self.open.len()
    }

    /// Returns the number of loans made since the start.
    #[must_use]
    pub fn lent_loans(&self) -> u64 {
        self.lent_loans
    }

    /// Returns the number of loans that have not ended.
    #[must_use]
    pub fn open_loans(&self) -> usize {
        self.open.len()
    }

    /// Returns whether requests wait for tokens.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

/// Returns the rank of the requested call; ranks beyond the largest count as the last.
fn rank(request: &LoanRequest) -> u8 {
    u8::try_from(request.rank).unwrap_or(u8::MAX)
}
