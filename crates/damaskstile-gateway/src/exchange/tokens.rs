//! Reserves the tokens that a call may use: from the local balance, from a peer's loan, or from the
//! store.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_escrow::{Rank, Shortage};
use damaskstile_loans::{Candidate, LoanOutcome};

use super::Exchange;
use crate::loan::Loan;
use crate::reply::{RETRY_AFTER_TOP_UP, RETRY_LATER, Refusal};
use crate::reservation::Reservation;
use crate::state::LendersToAsk;

/// Longest wait for tokens that the store or a peer has: a few round trips, with write conflicts,
/// and still a small part of the route's latency objective.
const TOKENS_WAIT: Duration = Duration::from_millis(120);
/// Longest wait for tokens in a large fleet, where one instance writes to the ledger for all
/// others: the interval between two writes, a store call and two datagrams, and the same again if a
/// datagram is lost.
const WRITER_TOKENS_WAIT: Duration = Duration::from_millis(300);

/// Most lenders that a call asks, one after the other: those of its data centre, one of each other
/// data centre, and some that have reported free tokens.
const LENDERS_MAX: usize = 10;

impl Exchange {
    /// Reserves the most tokens that the call may use, held here or lent by a peer; waits briefly
    /// for tokens that are in the store.
    pub(super) async fn reserve(&mut self) -> Result<Reservation, Refusal> {
        let work = self.call.work.clone();
        let tokens = work.prompt_tokens + work.output_tokens;
        let account = self.terms.account.clone().filter(|_| tokens > 0);
        // Within an account only the route's priority counts; the account's own priority is the
        // same for all of its calls.
        let rank = self.terms.route.priority;
        let now = self.gateway.now();
        let until = now + self.tokens_wait();
        if let Some(account) = &account {
            let mut state = self.gateway.state();
            state.holder.note_demand(now, account, tokens, rank);
        }
        let reservation = match &account {
            Some(account) => self.reserve_of(account, tokens, rank, until).await?,
            None => self.reserve_held(None, rank, until).await?,
        };
        let Some(reservation) = reservation else {
            return Err(self.shortage_refusal(Shortage::Elsewhere, tokens));
        };
        self.record.add("reserved", reservation.reserved_tokens());
        if reservation.reserved_tokens() > 0 {
            self.record.set_charge(reservation.charge());
        }
        Ok(reservation)
    }

    fn tokens_per_event(&self) -> u64 {
        let service = self.terms.catalogue.service(&self.terms.service);
        service
            .and_then(|service| service.tokens_per_event)
            .unwrap_or(1)
    }

    /// Reserves tokens of an account, from the local balance or a loan; `None` if neither has
    /// enough and no lender reported where more are.
    async fn reserve_of(
        &mut self,
        account: &str,
        tokens: u64,
        rank: Rank,
        until: Duration,
    ) -> Result<Option<Reservation>, Refusal> {
        let lenders = self.lenders(account, tokens, rank);
        if lenders.is_own_first || lenders.others.is_empty() {
            let held = self.reserve_held(Some(account), rank, until).await?;
            if held.is_some() {
                return Ok(held);
            }
            return self.borrow(lenders.others, tokens, rank, until).await;
        }
        let lent = self.borrow(lenders.others, tokens, rank, until).await?;
        if lent.is_some() {
            return Ok(lent);
        }
        self.reserve_held(Some(account), rank, until).await
    }

    /// Returns the lenders to ask for the call's tokens; empty if the local balance covers it.
    fn lenders(&self, account: &str, tokens: u64, rank: Rank) -> LendersToAsk {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        if state.holder.has_tokens(now, account, tokens, rank) {
            return LendersToAsk::default();
        }
        let lenders = state.lenders(now, account);
        if lenders.is_own_first {
            state.holder.note_lending(now, account);
        }
        lenders
    }

    /// Borrows the call's tokens; `None` if the lenders have none and do not know where there are
    /// any.
    async fn borrow(
        &mut self,
        mut lenders: Vec<Candidate>,
        tokens: u64,
        rank: Rank,
        until: Duration,
    ) -> Result<Option<Reservation>, Refusal> {
        let gateway = Arc::clone(&self.gateway);
        let account = self.terms.account.clone().unwrap_or_default();
        let mut may_arrive = false;
        let mut next = 0;
        while let Some(lender) = lenders.get(next).cloned() {
            next += 1;
            let borrowed = Loan::borrow(&gateway, &lender, &account, tokens, rank, until).await;
            self.record.add("asked", &lender.instance);
            let shortage = match borrowed {
                Ok(loan) => {
                    self.record.add("lent_by", &lender.instance);
                    let per_event = self.tokens_per_event();
                    let work = &self.call.work;
                    let reservation = Reservation::of_loan(loan, &gateway, work, per_event);
                    return Ok(Some(reservation));
                }
                Err(Some(LoanOutcome::Exhausted)) => Shortage::Exhausted,
                Err(Some(LoanOutcome::Reserved)) => Shortage::Reserved,
                Err(outcome) => {
                    may_arrive |= outcome == Some(LoanOutcome::Waiting);
                    let has_time = gateway.now() < until && next < LENDERS_MAX;
                    if has_time && next == lenders.len() {
                        let now = gateway.now();
                        let state = gateway.state();
                        let more = state.richest_lender(now, &account, tokens, &lenders);
                        lenders.extend(more);
                    }
                    continue;
                }
            };
            return Err(self.shortage_refusal(shortage, tokens));
        }
        if may_arrive {
            return Err(self.shortage_refusal(Shortage::InStore, tokens));
        }
        Ok(None)
    }

    /// Reserves tokens of the local balance, or waits for those in the store; `None` if they are
    /// held by other instances.
    async fn reserve_held(
        &mut self,
        account: Option<&str>,
        rank: Rank,
        until: Duration,
    ) -> Result<Option<Reservation>, Refusal> {
        let work = self.call.work.clone();
        let tokens = work.prompt_tokens + work.output_tokens;
        let tokens_per_event = self.tokens_per_event();
        loop {
            let gateway = Arc::clone(&self.gateway);
            let round_done = gateway.round_done.notified();
            let reserved =
                Reservation::try_new(&gateway, account, Some(&work), tokens_per_event, rank);
            let shortage = match reserved {
                Ok(reservation) => return Ok(Some(reservation)),
                Err(shortage) => shortage,
            };
            // During a shutdown the balance is handed back, so a shortage here says nothing about
            // the budget.
            if self.is_closing() {
                return Err(self.stopping_refusal());
            }
            let may_arrive = self.request_tokens(shortage, tokens);
            if !may_arrive && shortage == Shortage::Elsewhere {
                return Ok(None);
            }
            let wait = until.saturating_sub(self.gateway.now());
            if !may_arrive || wait.is_zero() {
                return Err(self.shortage_refusal(shortage, tokens));
            }
            // Whether the round completed or the wait timed out, the balance is checked again.
            let _ = tokio::time::timeout(wait, round_done).await;
        }
    }

    /// Returns how long to wait for tokens: at most half of the route's latency objective, but no
    /// less than `TOKENS_WAIT`, and never beyond the deadline.
    fn tokens_wait(&self) -> Duration {
        let wait = if self.gateway.state().is_large_fleet() {
            WRITER_TOKENS_WAIT
        } else {
            TOKENS_WAIT
        };
        let objective = self.terms.route.objective;
        wait.min(objective / 2)
            .max(TOKENS_WAIT)
            .min(self.time_left())
    }

    /// Requests missing tokens from the store or a peer; returns whether they may arrive soon.
    fn request_tokens(&self, shortage: Shortage, tokens: u64) -> bool {
        let gateway = &self.gateway;
        gateway.round_wanted.notify_one();
        if shortage != Shortage::Elsewhere {
            return shortage == Shortage::InStore;
        }
        let account = self.terms.account.clone().unwrap_or_default();
        let now = gateway.now();
        let mut state = gateway.state();
        if state.is_large_fleet() {
            // Peers were already asked for a loan. Tokens transferred for good would be out of
            // reach of all other instances if few calls arrive here.
            return false;
        }
        let missing = tokens.saturating_sub(state.holder.free_tokens(now, &account));
        if state.token_senders(now, &account, missing).is_empty() {
            return false;
        }
        state.wanted_tokens.insert(account, missing);
        drop(state);
        gateway.tokens_wanted.notify_one();
        true
    }

    fn shortage_refusal(&mut self, shortage: Shortage, tokens: u64) -> Refusal {
        let now = self.gateway.now();
        let account = self.terms.account.clone().unwrap_or_default();
        let state = self.gateway.state();
        let free = state.holder.free_tokens(now, &account);
        let age = state.holder.ledger_age(now);
        let version = state.holder.ledger_version();
        let totals = state.holder.account_totals(&account);
        // Tokens that other instances hold become available when the store answers again. A caller
        // that retries earlier would most likely be refused again.
        let until_back = state.contact.outage_left(now).unwrap_or(RETRY_LATER);
        drop(state);
        self.record.add("needed", tokens);
        self.record.add("free", free);
        self.record.add("shortage", shortage.as_str());
        self.record.add("bought", totals.bought_tokens);
        self.record.add("settled", totals.settled_tokens);
        self.record.add("granted", totals.granted_tokens);
        self.record.add("ledger_version", version);
        let age_ms = age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
        self.record.add("ledger_age_ms", age_ms);
        match shortage {
            Shortage::Exhausted => Refusal::not_run(RefusalCode::BudgetExhausted, None),
            Shortage::Reserved => {
                Refusal::not_run(RefusalCode::BudgetReserved, Some(RETRY_AFTER_TOP_UP))
            }
            Shortage::InStore | Shortage::Elsewhere => {
                Refusal::not_run(RefusalCode::BudgetUnreachable, Some(until_back))
            }
        }
    }
}
