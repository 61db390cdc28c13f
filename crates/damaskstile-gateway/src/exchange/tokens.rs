//! `tokens` reserves what a call may use, or says why it cannot.

use std::sync::Arc;

use damaskstile_core::prelude::*;
use damaskstile_escrow::Shortage;

use super::Exchange;
use crate::reply::{RETRY_AFTER_TOP_UP, RETRY_LATER, Refusal};
use crate::reservation::Reservation;

/// Longest wait for tokens that the store or a peer has: a few round trips, with conflicts, and
/// still a small part of the time within which an answer is of full use.
const TOKENS_WAIT: Duration = Duration::from_millis(120);
/// The same where one instance writes for all: the pause between two of its writes, a call to the
/// store, two datagrams, and the same again if a datagram is lost.
const WRITER_TOKENS_WAIT: Duration = Duration::from_millis(300);

impl Exchange {
    /// Reserves the worst case; waits a moment for tokens that the store has.
    pub(super) async fn reserve(&mut self) -> Result<Reservation, Refusal> {
        let work = self.call.work.clone();
        let account = self.terms.account.clone();
        let tokens_per_event = self
            .terms
            .catalogue
            .service(&self.terms.service)
            .and_then(|service| service.tokens_per_event)
            .unwrap_or(1);
        // Within an account the route's rank counts; the account's own is the same for all.
        let rank = self.terms.route.priority;
        let now = self.gateway.now();
        let tokens = work.prompt_tokens + work.output_tokens;
        if let Some(account) = &account
            && tokens > 0
        {
            let mut state = self.gateway.state();
            state.holder.note_demand(now, account, tokens, rank);
        }
        let until = now + self.tokens_wait();
        loop {
            let gateway = Arc::clone(&self.gateway);
            let round_done = gateway.round_done.notified();
            let reserved = Reservation::try_new(
                &self.gateway,
                account.as_deref(),
                Some(&work),
                tokens_per_event,
                rank,
            );
            let shortage = match reserved {
                Ok(reservation) => {
                    self.record.add("reserved", reservation.reserved_tokens());
                    if reservation.reserved_tokens() > 0 {
                        self.record.set_charge(reservation.charge());
                    }
                    return Ok(reservation);
                }
                Err(shortage) => shortage,
            };
            // Once tokens are handed back, their lack says nothing of the budget.
            if self.is_closing() {
                return Err(self.stopping());
            }
            let is_coming = self.call_for_tokens(shortage, tokens);
            let wait = until.saturating_sub(self.gateway.now());
            if !is_coming || wait.is_zero() {
                return Err(self.short(shortage, tokens));
            }
            // Either outcome leads to another look.
            let _ = tokio::time::timeout(wait, round_done).await;
        }
    }

    /// Returns how long to wait for tokens: at most half of the time within which an answer is of
    /// full use.
    fn tokens_wait(&self) -> Duration {
        let wait = if self.gateway.state().is_large_fleet() {
            WRITER_TOKENS_WAIT
        } else {
            TOKENS_WAIT
        };
        let objective = self.terms.route.objective;
        wait.min(objective / 2).max(TOKENS_WAIT).min(self.left())
    }

    /// Has missing tokens fetched from the store or a peer; returns whether they may come soon.
    fn call_for_tokens(&self, shortage: Shortage, tokens: u64) -> bool {
        let gateway = &self.gateway;
        gateway.round_wanted.notify_one();
        if shortage != Shortage::Elsewhere {
            return shortage == Shortage::InStore;
        }
        let account = self.terms.account.clone().unwrap_or_default();
        let now = gateway.now();
        let mut state = gateway.state();
        let missing = tokens.saturating_sub(state.holder.free_tokens(now, &account));
        if state.givers(now, &account, missing).is_empty() {
            return false;
        }
        state.wanted_tokens.insert(account, missing);
        drop(state);
        gateway.tokens_wanted.notify_one();
        true
    }

    fn short(&mut self, shortage: Shortage, tokens: u64) -> Refusal {
        let now = self.gateway.now();
        let account = self.terms.account.clone().unwrap_or_default();
        let state = self.gateway.state();
        let free = state.holder.free_tokens(now, &account);
        let age = state.holder.ledger_age(now);
        let version = state.holder.ledger_version();
        let standing = state.holder.standing(&account);
        // Tokens that others hold come back with the store. A caller that asks once more before
        // that is most likely refused once more.
        let until_back = state.contact.outage_left(now).unwrap_or(RETRY_LATER);
        drop(state);
        self.record.add("needed", tokens);
        self.record.add("free", free);
        self.record.add("shortage", shortage.as_str());
        self.record.add("bought", standing.bought_tokens);
        self.record.add("settled", standing.settled_tokens);
        self.record.add("granted", standing.granted_tokens);
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
