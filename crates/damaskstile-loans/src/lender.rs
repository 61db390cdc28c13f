//! `lender` lends tokens that its holder may spend.

mod loan_id;
mod waiting;

use std::net::SocketAddr;

use damaskstile_core::prelude::*;
use damaskstile_escrow::Holder;

pub use loan_id::LoanId;

use crate::loan::{LoanAnswer, LoanAsk, LoanOutcome};
use waiting::Waiting;

/// Time without a word of its end after which a loan counts as used: longer than calls last, and
/// than a borrower repeats the end.
pub const LOAN_LIFE: Duration = Duration::from_mins(1);
/// Time for which the number of an ended loan is kept. A network that turns messages round delivers
/// an ask after its end by milliseconds; one that came later would stand open for [`LOAN_LIFE`].
const ENDED_LIFE: Duration = Duration::from_secs(10);
/// Time for which an ask waits for tokens from the store: borrowers wait no longer.
const WAIT_MAX: Duration = Duration::from_millis(500);

/// `Lender` lends tokens that its holder may spend.
#[derive(Debug, Default)]
pub struct Lender {
    open: BTreeMap<LoanId, Open>,
    waiting: Waiting,
    ended: BTreeMap<LoanId, Duration>,
    lent_loans: u64,
}

/// `Open` is a loan that is not over.
#[derive(Debug)]
struct Open {
    account: AccountId,
    tokens: u64,
    lent_at: Duration,
}

impl Lender {
    /// Answers an ask; `None` where the loan is over already, so that nothing waits for an answer.
    pub fn ask(
        &mut self,
        holder: &mut Holder,
        now: Duration,
        id: LoanId,
        address: SocketAddr,
        ask: &LoanAsk,
    ) -> Option<LoanAnswer> {
        if self.ended.contains_key(&id) {
            return None;
        }
        if self.open.contains_key(&id) {
            return Some(LoanAnswer::new(&id, LoanOutcome::Lent));
        }
        let is_first = !self.waiting.contains(&id);
        if is_first {
            holder.note_lending(now, &ask.account);
            if !ask.is_counted {
                holder.note_demand(now, &ask.account, ask.tokens, rank(ask));
            }
        }
        let outcome = self.lend(holder, now, &id, ask);
        let answer = LoanAnswer::new(&id, outcome);
        if outcome == LoanOutcome::Waiting && is_first {
            self.waiting.add(now, id, address, ask.clone());
        } else if outcome != LoanOutcome::Waiting {
            self.waiting.remove(&id);
        }
        Some(answer)
    }

    /// Answers the asks that waited, where something became of them.
    pub fn ask_again(
        &mut self,
        holder: &mut Holder,
        now: Duration,
    ) -> Vec<(SocketAddr, LoanAnswer)> {
        let mut answers = Vec::new();
        for (id, asked) in self.waiting.take(now, WAIT_MAX) {
            let outcome = self.lend(holder, now, &id, &asked.ask);
            if outcome == LoanOutcome::Waiting {
                self.waiting.put_back(id, asked);
            } else {
                let answer = LoanAnswer::new(&id, outcome);
                answers.push((asked.address, answer));
            }
        }
        answers
    }

    fn lend(
        &mut self,
        holder: &mut Holder,
        now: Duration,
        id: &LoanId,
        ask: &LoanAsk,
    ) -> LoanOutcome {
        // An account that is not known to be prepaid has no bound. A lender that has started anew knows
        // none yet, and would lend what nobody holds: the borrower's calls run, the account overdraws.
        if !holder.is_prepaid(&ask.account) {
            return LoanOutcome::Elsewhere;
        }
        match holder.try_reserve(now, &ask.account, ask.tokens, rank(ask)) {
            Ok(()) => {
                self.lent_loans += 1;
                let loan = Open {
                    account: ask.account.clone(),
                    tokens: ask.tokens,
                    lent_at: now,
                };
                self.open.insert(id.clone(), loan);
                LoanOutcome::Lent
            }
            Err(shortage) => shortage.into(),
        }
    }

    /// Takes in that a loan is over, or that nobody waits for it any more. What its borrower says
    /// it used counts, and never more than was lent.
    pub fn end(&mut self, holder: &mut Holder, now: Duration, id: LoanId, used_tokens: u64) {
        self.waiting.remove(&id);
        if let Some(loan) = self.open.remove(&id) {
            holder.release(&loan.account, loan.tokens, used_tokens);
        }
        self.ended.insert(id, now);
    }

    /// Counts loans as used whose end nobody told, and forgets ends of long ago. Returns how many
    /// loans were counted.
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

    /// Returns the number of loans made so far.
    #[must_use]
    pub fn lent_loans(&self) -> u64 {
        self.lent_loans
    }

    /// Returns the number of loans that are not over.
    #[must_use]
    pub fn open_loans(&self) -> usize {
        self.open.len()
    }

    /// Tells whether asks wait for tokens.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

/// Returns the rank of the call that an ask is for; ranks beyond those that there are come last.
fn rank(ask: &LoanAsk) -> u8 {
    u8::try_from(ask.rank).unwrap_or(u8::MAX)
}
