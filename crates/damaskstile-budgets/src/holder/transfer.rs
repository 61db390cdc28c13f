//! Transfers of tokens between holders of the same budget.

use damaskstile_core::peer::{Adoption, AskTokens, GiveTokens, TakeTokens};
use damaskstile_core::prelude::*;

use super::Holder;
use super::holding::Holding;
use super::refill::Stage;
use crate::effect::{DrawPlan, HolderEffect};
use crate::op::LedgerOp;

/// Maximum number of peers that a request is sent to.
const ASKED_MAX: usize = 16;
/// Maximum number of requests in a round, without the last try.
const WAVES_MAX: u32 = 4;
/// Maximum number of grants from which a request is answered.
const PIECES_MAX: usize = 8;
/// Delay before the last request of a round if all peers have answered.
const LAST_TRY_AFTER: Duration = Duration::from_millis(8);
/// Number of accepted transfers kept to detect duplicates.
const TAKEN_MAX: usize = 4096;
/// Interval at which an unconfirmed transfer is resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unconfirmed transfer is no longer resent.
const RESEND_UNTIL: Duration = Duration::from_mins(1);

/// Series of requests to peers for tokens, on behalf of waiting runs.
#[derive(Debug)]
pub(super) struct AskRound {
    /// Time at which the wait for answers, or the delay before the last request, ends.
    pub until: Duration,
    /// Peers that have not answered the current request.
    open: BTreeSet<InstanceId>,
    /// Id of the current request.
    ask: u64,
    /// Number of requests made in the round.
    wave: u32,
    /// Tokens received for the current request.
    got_tokens: u64,
    /// Whether a request of the round ended with answers missing.
    is_unanswered: bool,
    /// Whether the round is in the delay before the last request.
    is_pausing: bool,
    /// Whether the last request was made, or will be after the delay.
    is_last_try: bool,
}

/// Outgoing transfer that its recipient has not confirmed.
#[derive(Debug)]
pub(super) struct OpenGive {
    to: InstanceId,
    ask: u64,
    pub plan: DrawPlan,
    origins: Vec<Adoption>,
    /// Time of the next resend; `None` until the transfer was first sent.
    pub resend_at: Option<Duration>,
    until: Duration,
}

impl Holder {
    pub(super) fn start_round(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        self.round = Some(AskRound {
            until: now,
            open: BTreeSet::new(),
            ask: 0,
            wave: 0,
            got_tokens: 0,
            is_unanswered: false,
            is_pausing: false,
            is_last_try: false,
        });
        self.ask_peers(now, fx);
    }

    /// Sends a request to the peers that hold the most tokens.
    fn ask_peers(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let tokens = self.missing_tokens();
        let asked = self.likely_givers();
        // The incarnation makes the ids differ from those of an earlier process.
        let number = self.next_number();
        let ask = self.identity.incarnation.wrapping_add(number);
        for peer in &asked {
            fx.push(HolderEffect::Send {
                to: peer.clone(),
                message: PeerMessage::Ask(AskTokens {
                    budget: self.budget.clone(),
                    tokens,
                    ask,
                }),
            });
        }
        if let Some(round) = &mut self.round {
            round.until = now + self.options.ask_patience;
            round.open = asked;
            round.ask = ask;
            round.wave += 1;
            round.got_tokens = 0;
        }
    }

    fn likely_givers(&self) -> BTreeSet<InstanceId> {
        let held_tokens = |peer: &InstanceId| {
            self.view
                .as_ref()
                .map_or(0, |(_, ledger)| ledger.held_tokens(peer))
        };
        let mut peers: Vec<&InstanceId> = self.peers.iter().collect();
        peers.sort_by_key(|peer| std::cmp::Reverse(held_tokens(peer)));
        peers.into_iter().take(ASKED_MAX).cloned().collect()
    }

    /// Handles a peer's request for tokens: transfers free tokens, or answers that there are none.
    pub fn on_ask(
        &mut self,
        now: Duration,
        from: &InstanceId,
        ask: &AskTokens,
        fx: &mut Vec<HolderEffect>,
    ) {
        // Of two instances that both lack tokens, each would keep what the other needs, and neither
        // could serve its run. So the instance whose name sorts first keeps its tokens, and the
        // other one transfers its own.
        let is_needed_here = !self.waiters.is_empty() && self.identity.instance < *from;
        let pieces = if is_needed_here || self.is_stopping {
            Vec::new()
        } else {
            self.pieces(ask.tokens)
        };
        if pieces.is_empty() {
            self.give_none(from, ask.ask, fx);
        }
        for draw in pieces {
            self.give(now, from, ask.ask, draw, fx);
        }
    }

    /// Selects the tokens to transfer, from the holdings with the most free tokens first.
    fn pieces(&self, wanted_tokens: u64) -> Vec<Draw> {
        let mut rests: Vec<(u64, &GrantId)> = self
            .holdings
            .iter()
            .map(|(grant, holding)| (holding.free_tokens, grant))
            .filter(|(free, _)| *free > 0)
            .collect();
        rests.sort_by_key(|(free, _)| std::cmp::Reverse(*free));
        let mut left_tokens = wanted_tokens;
        let mut pieces = Vec::new();
        for (free, grant) in rests.into_iter().take(PIECES_MAX) {
            let tokens = free.min(left_tokens);
            left_tokens -= tokens;
            if tokens > 0 {
                pieces.push(Draw {
                    grant: grant.clone(),
                    tokens,
                });
            }
        }
        pieces
    }

    fn give_none(&self, to: &InstanceId, ask: u64, fx: &mut Vec<HolderEffect>) {
        fx.push(HolderEffect::Send {
            to: to.clone(),
            message: PeerMessage::Give(GiveTokens {
                ask,
                budget: self.budget.clone(),
                ..GiveTokens::default()
            }),
        });
    }

    fn give(
        &mut self,
        now: Duration,
        to: &InstanceId,
        ask: u64,
        draw: Draw,
        fx: &mut Vec<HolderEffect>,
    ) {
        // The tokens are deducted here before the transfer is sent. If the message is lost, they
        // are unavailable until it is resent; they can never be spent twice.
        let mut origins = Vec::new();
        if let Some(holding) = self.holdings.get_mut(&draw.grant) {
            holding.free_tokens -= draw.tokens;
            origins.clone_from(&holding.origins);
        }
        let number = self.next_number();
        let transfer = self
            .identity
            .unique(&format!("give-{}", self.budget), number);
        let plan = self.plan(draw);
        self.open_gives.insert(
            transfer.clone(),
            OpenGive {
                to: to.clone(),
                ask,
                plan: plan.clone(),
                origins,
                resend_at: None,
                until: now + RESEND_UNTIL,
            },
        );
        fx.push(HolderEffect::Give { transfer, plan });
    }

    /// Sends a transfer. To be called once its record is kept, or at once if its grant is open.
    pub fn send_give(&mut self, now: Duration, transfer: &GrantId, fx: &mut Vec<HolderEffect>) {
        if let Some(give) = self.open_gives.get_mut(transfer) {
            give.resend_at = Some(now + RESEND_INTERVAL);
            fx.push(give_message(&self.budget, transfer, give));
            let grant = give.plan.draw.grant.clone();
            self.unadopted.insert(transfer.clone(), grant);
        }
    }

    /// Cancels a transfer that was never sent and answers the peer that there are no tokens.
    pub fn cancel_give(&mut self, transfer: &GrantId, fx: &mut Vec<HolderEffect>) {
        let Some(give) = self.open_gives.remove(transfer) else {
            return;
        };
        self.put_back(&give.plan.draw.grant, give.plan.draw.tokens);
        self.give_none(&give.to, give.ask, fx);
    }

    pub(super) fn resend_gives(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        self.open_gives
            .retain(|_, give| give.resend_at.is_none() || now < give.until);
        for (transfer, give) in &mut self.open_gives {
            if give.resend_at.is_some_and(|at| at <= now) {
                give.resend_at = Some(now + RESEND_INTERVAL);
                fx.push(give_message(&self.budget, transfer, give));
            }
        }
    }

    /// Handles a recipient's confirmation that a transfer has arrived.
    pub fn on_take(&mut self, transfer: &GrantId) {
        self.open_gives.remove(transfer);
        self.drop_empty_holdings();
    }

    /// Handles a peer's answer to a request for tokens and accepts the transferred tokens, if any.
    pub fn on_give(
        &mut self,
        now: Duration,
        from: &InstanceId,
        give: &GiveTokens,
        fx: &mut Vec<HolderEffect>,
    ) {
        let is_asked = self.is_own_ask(give.ask);
        if give.tokens > 0 && is_asked {
            self.confirm(from, give, fx);
            // A resent transfer may arrive twice; it is accepted once.
            if self
                .taken
                .insert((self.ask_number(give.ask), give.transfer.clone()))
            {
                self.adopt(from, give, fx);
            }
            self.forget_old_asks();
        }
        if let Some(round) = &mut self.round
            && round.ask == give.ask
        {
            round.open.remove(from);
            round.got_tokens = round.got_tokens.saturating_add(give.tokens);
        }
        self.end_round(now, fx);
        self.pump(now, fx);
        self.flush_due(now, fx);
    }

    /// Returns whether a request was made by this holder and is still remembered.
    ///
    /// A transfer to an earlier incarnation is not accepted, because that incarnation may have
    /// spent its tokens.
    fn is_own_ask(&self, ask: u64) -> bool {
        let number = self.ask_number(ask);
        number > self.first_number && number <= self.next_number && number >= self.oldest_ask
    }

    fn ask_number(&self, ask: u64) -> u64 {
        ask.wrapping_sub(self.identity.incarnation)
    }

    /// Limits the number of remembered transfers.
    ///
    /// A transfer for a forgotten request is ignored, since it may have been accepted before; its
    /// tokens stay in the sender's grant.
    fn forget_old_asks(&mut self) {
        while self.taken.len() > TAKEN_MAX {
            if let Some((number, _)) = self.taken.pop_first() {
                self.oldest_ask = number + 1;
            }
        }
    }

    fn confirm(&self, from: &InstanceId, give: &GiveTokens, fx: &mut Vec<HolderEffect>) {
        fx.push(HolderEffect::Send {
            to: from.clone(),
            message: PeerMessage::Take(TakeTokens {
                transfer: give.transfer.clone(),
                budget: self.budget.clone(),
            }),
        });
    }

    fn adopt(&mut self, from: &InstanceId, give: &GiveTokens, fx: &mut Vec<HolderEffect>) {
        // The sender may have received the tokens from another peer and may not have entered that
        // transfer yet. The ledger needs the transfers in order, so all of them are entered here.
        let mut origins = give.origins.clone();
        origins.push(Adoption {
            transfer: give.transfer.clone(),
            from_grant: give.grant.clone(),
            tokens: give.tokens,
            holder: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
        });
        self.pending
            .extend(origins.iter().cloned().map(LedgerOp::Adopt));
        self.holdings.insert(
            give.transfer.clone(),
            Holding {
                free_tokens: give.tokens,
                witnesses: BTreeMap::new(),
                origins,
            },
        );
        if self.is_stopping {
            self.return_free();
        }
        let tokens = give.tokens.to_string();
        Self::log(
            fx,
            EventCode::TokensTaken,
            &[
                ("budget", &self.budget),
                ("from", from),
                ("tokens", &tokens),
            ],
        );
    }

    /// Ends the round, or starts its next request, once the current request has brought enough
    /// tokens, is fully answered or has timed out.
    pub(super) fn end_round(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let missing_tokens = self.missing_tokens();
        let Some(round) = &mut self.round else {
            return;
        };
        let is_late = now >= round.until;
        if round.is_pausing && missing_tokens > 0 {
            if is_late {
                round.is_pausing = false;
                self.ask_peers(now, fx);
            }
            return;
        }
        let is_answered = round.open.is_empty();
        if !is_answered && !is_late && missing_tokens > 0 {
            return;
        }
        round.is_unanswered |= !is_answered;

        // Peers answer a request from a limited number of grants; repeat it while it brings tokens.
        let is_worth_more = missing_tokens > 0 && round.got_tokens > 0 && round.wave < WAVES_MAX;
        if is_worth_more {
            self.ask_peers(now, fx);
            return;
        }
        // A peer that lacked tokens itself may have released in the meantime the tokens that it had
        // collected, so the request is made once more.
        if missing_tokens > 0 && !round.is_last_try {
            round.is_last_try = true;
            if is_late {
                self.ask_peers(now, fx);
            } else {
                round.until = now + LAST_TRY_AFTER;
                round.is_pausing = true;
            }
            return;
        }
        let stage = if round.is_unanswered || self.has_silent_peers {
            Stage::Unreachable
        } else {
            Stage::Empty
        };
        if missing_tokens > 0 {
            self.fruitless_ask_at = Some(now);
        }
        self.round = None;
        for waiter in &mut self.waiters {
            if waiter.peers == Stage::Tried {
                waiter.peers = stage;
            }
        }
    }
}

fn give_message(budget: &BudgetId, transfer: &GrantId, give: &OpenGive) -> HolderEffect {
    HolderEffect::Send {
        to: give.to.clone(),
        message: PeerMessage::Give(GiveTokens {
            ask: give.ask,
            budget: budget.clone(),
            transfer: transfer.clone(),
            grant: give.plan.draw.grant.clone(),
            tokens: give.plan.draw.tokens,
            origins: give.origins.clone(),
        }),
    }
}
