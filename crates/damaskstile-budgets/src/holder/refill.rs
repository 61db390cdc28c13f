//! Requests grants ahead of need and serves or refuses runs that wait for tokens.

use damaskstile_core::prelude::*;

use super::{Holder, Reserve};
use crate::effect::HolderEffect;
use crate::op::LedgerOp;

/// Time constant of the measured spending rate.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Age up to which the last seen ledger, if it has no free tokens, is relied on instead of a call
/// to the store.
const EMPTY_VIEW_AGE: Duration = Duration::from_millis(250);
/// Time after an unsuccessful round of requests to peers in which no new round starts.
const UNSUCCESSFUL_ROUND_AGE: Duration = Duration::from_millis(20);
/// Maximum number of runs waiting for tokens of a budget.
const WAITERS_MAX: usize = 256;

/// Exponentially decaying sum of the reserved tokens, which gives the spending rate.
#[derive(Debug)]
pub(super) struct Rate {
    tokens: f64,
    at: Duration,
}

impl Rate {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            at: now,
        }
    }

    #[allow(clippy::cast_precision_loss, reason = "a rate needs no exact tokens")]
    pub(super) fn add(&mut self, now: Duration, tokens: u64) {
        self.decay(now);
        self.tokens += tokens as f64;
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens *= (-passed / RATE_WINDOW.as_secs_f64()).exp();
        self.at = now;
    }

    /// Returns the tokens expected to be needed in a span of time.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is positive and the cast saturates"
    )]
    pub(super) fn tokens_in(&mut self, now: Duration, span: Duration) -> u64 {
        self.decay(now);
        (self.tokens * span.as_secs_f64() / RATE_WINDOW.as_secs_f64()) as u64
    }
}

/// State of one source of tokens, the store or the peers, for a waiting run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SourceState {
    /// Not requested yet.
    NotRequested,
    /// Requested; the answer is pending.
    Requested,
    /// The source has no tokens, or not enough.
    Empty,
    /// The source cannot be reached.
    Unreachable,
}

/// A run that waits for tokens.
#[derive(Debug)]
pub(super) struct Waiter {
    pub run: RunId,
    pub tokens: u64,
    pub is_open_only: bool,
    /// Time at which the wait for the store ends.
    pub store_wait_until: Duration,
    pub store: SourceState,
    pub peers: SourceState,
}

impl Waiter {
    /// Returns the end of the wait for the store, if an answer of the store is pending.
    pub(super) fn next_wake(&self) -> Option<Duration> {
        (self.store == SourceState::Requested).then_some(self.store_wait_until)
    }
}

impl Holder {
    pub(super) fn wait(
        &mut self,
        now: Duration,
        run: &RunId,
        tokens: u64,
        is_open_only: bool,
        fx: &mut Vec<HolderEffect>,
    ) -> Reserve {
        if self.waiters.len() >= WAITERS_MAX {
            return Reserve::Refused(RefusalCode::Overloaded);
        }
        self.waiters.push(Waiter {
            run: run.clone(),
            tokens,
            is_open_only,
            store_wait_until: now + self.options.store_wait_limit,
            store: SourceState::NotRequested,
            peers: SourceState::NotRequested,
        });
        self.advance_waiters(now, fx);
        Reserve::Waiting
    }

    /// Requests a grant while tokens are still left, so that runs need not wait for it.
    pub(super) fn refill_ahead(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        if self.is_stopping || self.is_grant_pending() || self.retry_at.is_some() {
            return;
        }
        let horizon_tokens = self.rate.tokens_in(now, self.options.horizon);
        let is_free = self
            .view
            .as_ref()
            .is_none_or(|(_, ledger)| ledger.free_tokens() > 0);
        if is_free && self.free_tokens() < horizon_tokens / 2 {
            self.request_grant(now, 0, fx);
        }
    }

    /// Requests a share of the budget before the first run, if the policy spreads tokens.
    pub fn request_share(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let is_wanted = self.options.policy.policy().is_spreading() && self.free_tokens() == 0;
        if is_wanted && !self.is_stopping && !self.is_grant_pending() {
            self.request_grant(now, 0, fx);
        }
    }

    fn is_grant_pending(&self) -> bool {
        let in_flight = self.batch.as_ref().map_or(&[][..], |batch| &batch.ops);
        self.pending
            .iter()
            .chain(in_flight)
            .any(|op| matches!(op, LedgerOp::Grant { .. }))
    }

    fn request_grant(&mut self, now: Duration, need_tokens: u64, fx: &mut Vec<HolderEffect>) {
        let horizon_tokens = self.rate.tokens_in(now, self.options.horizon);
        let want_tokens = horizon_tokens.max(need_tokens);
        // Part of the held tokens is in open grants, so that an instance that is cut off from all
        // its witnesses can still spend. The rest has witnesses, so that it can be recovered if the
        // holder fails.
        let open_tokens: u64 = self
            .holdings
            .values()
            .filter(|holding| holding.witnesses.is_empty())
            .map(|holding| holding.free_tokens)
            .sum();
        let open_wanted = want_tokens
            .max(1)
            .saturating_mul(self.options.open_percent)
            .div_ceil(100);
        let has_open_waiter = self.waiters.iter().any(|waiter| waiter.is_open_only);
        let is_open_wanted = has_open_waiter || open_tokens < open_wanted;
        if is_open_wanted && !has_open_waiter && !self.witnesses.is_empty() {
            let percent = self.options.open_percent;
            self.push_grant(0, want_tokens, percent, BTreeMap::new());
        }
        let witnesses = if has_open_waiter {
            BTreeMap::new()
        } else {
            self.witnesses.clone()
        };
        self.push_grant(need_tokens, want_tokens, 100, witnesses);
        self.flush(now, fx);
    }

    fn push_grant(
        &mut self,
        need_tokens: u64,
        want_tokens: u64,
        part_percent: u64,
        witnesses: BTreeMap<InstanceId, Incarnation>,
    ) {
        let number = self.next_number();
        self.pending.push(LedgerOp::Grant {
            grant: self.identity.unique("grant", number),
            need_tokens,
            want_tokens,
            part_percent,
            witnesses,
        });
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Advances waiting runs: reserves tokens for them, requests tokens from the store and then
    /// from peers, or refuses them.
    pub(super) fn advance_waiters(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        self.serve_waiters(fx);
        if self.waiters.is_empty() {
            return;
        }
        self.stop_waiting_for_store(now);
        self.request_from_store_for_waiters(now, fx);
        self.request_from_peers_for_waiters(now, fx);
        self.refuse_waiters(fx);
    }

    fn serve_waiters(&mut self, fx: &mut Vec<HolderEffect>) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            match self.draw(&waiter.run, waiter.tokens, waiter.is_open_only) {
                Some(draws) => fx.push(HolderEffect::Ready {
                    run: waiter.run,
                    draws,
                }),
                None => self.waiters.push(waiter),
            }
        }
    }

    /// Stops waiting for a store that is slow or unavailable; tokens are requested from peers
    /// instead.
    fn stop_waiting_for_store(&mut self, now: Duration) {
        let is_down = self.retry_at.is_some();
        for waiter in &mut self.waiters {
            let is_late = waiter.store == SourceState::Requested && now >= waiter.store_wait_until;
            let is_unavailable = waiter.store == SourceState::NotRequested && is_down;
            if is_late || is_unavailable {
                waiter.store = SourceState::Unreachable;
            }
        }
    }

    fn request_from_store_for_waiters(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        if !self
            .waiters
            .iter()
            .any(|waiter| waiter.store == SourceState::NotRequested)
        {
            return;
        }
        // A budget that was empty a moment ago is assumed to be empty, to avoid a write for every
        // run.
        let is_known_empty = self
            .view
            .as_ref()
            .is_some_and(|(_, ledger)| ledger.free_tokens() == 0)
            && now.saturating_sub(self.view_at) < EMPTY_VIEW_AGE;
        if is_known_empty {
            self.mark_store(SourceState::NotRequested, SourceState::Empty);
            return;
        }
        if self.is_grant_pending() {
            return;
        }
        let need_tokens = self.missing_tokens();
        self.mark_store(SourceState::NotRequested, SourceState::Requested);
        self.request_grant(now, need_tokens, fx);
    }

    pub(super) fn mark_store(&mut self, from: SourceState, to: SourceState) {
        for waiter in &mut self.waiters {
            if waiter.store == from {
                waiter.store = to;
            }
        }
    }

    /// Returns the tokens that the waiting runs lack in total.
    pub(super) fn missing_tokens(&self) -> u64 {
        let wanted: u64 = self.waiters.iter().map(|waiter| waiter.tokens).sum();
        let is_open_only = self.waiters.iter().any(|waiter| waiter.is_open_only);
        let free: u64 = self
            .holdings
            .values()
            .filter(|holding| !is_open_only || holding.witnesses.is_empty())
            .map(|holding| holding.free_tokens)
            .sum();
        wanted.saturating_sub(free)
    }

    fn request_from_peers_for_waiters(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let is_transferring = self.options.policy.policy().is_transferring();
        let is_unsuccessful = self
            .unsuccessful_round_at
            .is_some_and(|at| now.saturating_sub(at) < UNSUCCESSFUL_ROUND_AGE);
        let mut has_new = false;
        for waiter in &mut self.waiters {
            let is_store_done =
                matches!(waiter.store, SourceState::Empty | SourceState::Unreachable);
            if !is_store_done || waiter.peers != SourceState::NotRequested {
                continue;
            }
            if !is_transferring {
                waiter.peers = SourceState::Empty;
            } else if is_unsuccessful || self.peers.is_empty() {
                waiter.peers = if self.has_silent_peers {
                    SourceState::Unreachable
                } else {
                    SourceState::Empty
                };
            } else {
                waiter.peers = SourceState::Requested;
                has_new = true;
            }
        }
        if has_new && self.round.is_none() {
            self.start_round(now, fx);
        }
    }

    fn refuse_waiters(&mut self, fx: &mut Vec<HolderEffect>) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            let is_store_done =
                matches!(waiter.store, SourceState::Empty | SourceState::Unreachable);
            let is_peers_done =
                matches!(waiter.peers, SourceState::Empty | SourceState::Unreachable);
            if !is_store_done || !is_peers_done {
                self.waiters.push(waiter);
                continue;
            }
            let are_sources_empty =
                waiter.store == SourceState::Empty && waiter.peers == SourceState::Empty;
            let code = if are_sources_empty {
                RefusalCode::BudgetExhausted
            } else {
                RefusalCode::BudgetUnreachable
            };
            fx.push(HolderEffect::Refused {
                run: waiter.run,
                code,
            });
        }
    }
}
