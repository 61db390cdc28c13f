//! Transfers of tokens between holders of the same budget.

use damaskstile_core::peer::{Adoption, TokenRequest, TokenTransfer, TransferConfirmation};
use damaskstile_core::prelude::*;

use super::Holder;
use super::holding::Holding;
use super::refill::SourceState;
use crate::effect::{DrawPlan, HolderEffect};
use crate::op::LedgerOp;

/// Maximum number of peers that a request is sent to.
const REQUEST_PEERS_MAX: usize = 16;
/// Maximum number of requests in a round, without the last try.
const ROUND_REQUESTS_MAX: u32 = 4;
/// Maximum number of grants from which a request is answered.
const REQUEST_GRANTS_MAX: usize = 8;
/// Delay before the last request of a round if all peers have answered.
const LAST_REQUEST_DELAY: Duration = Duration::from_millis(8);
/// Number of accepted transfers kept to detect duplicates.
const ACCEPTED_TRANSFERS_MAX: usize = 4096;
/// Interval at which an unconfirmed transfer is resent.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which an unconfirmed transfer is no longer resent.
const RESEND_TIMEOUT: Duration = Duration::from_mins(1);

/// Series of requests to peers for tokens, on behalf of waiting runs.
#[derive(Debug)]
pub(super) struct RequestRound {
    /// Time at which the wait for answers, or the delay before the last request, ends.
    pub until: Duration,
    /// Peers that have not answered the current request.
    unanswered: BTreeSet<InstanceId>,
    /// Id of the current request.
    request_id: u64,
    /// Number of requests made in the round.
    requests_made: u32,
    /// Tokens received for the current request.
    received_tokens: u64,
    /// Whether a request of the round ended with answers missing.
    has_unanswered: bool,
    /// Whether the round is in the delay before the last request.
    is_delaying: bool,
    /// Whether the last request was made, or will be after the delay.
    is_last_request: bool,
}

/// Outgoing transfer that its recipient has not confirmed.
#[derive(Debug)]
pub(super) struct OutgoingTransfer {
    to: InstanceId,
    request_id: u64,
    pub plan: DrawPlan,
    origins: Vec<Adoption>,
    /// Time of the next resend; `None` until the transfer was first sent.
    pub resend_at: Option<Duration>,
    until: Duration,
}

impl Holder {
    pub(super) fn start_round(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        self.round = Some(RequestRound {
            until: now,
            unanswered: BTreeSet::new(),
            request_id: 0,
            requests_made: 0,
            received_tokens: 0,
            has_unanswered: false,
            is_delaying: false,
            is_last_request: false,
        });
        self.request_from_peers(now, fx);
    }

    /// Sends a request to the peers that hold the most tokens.
    fn request_from_peers(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let tokens = self.missing_tokens();
        let peers = self.likely_senders();
        // The incarnation makes the ids differ from those of an earlier process.
        let number = self.next_number();
        let request_id = self.identity.incarnation.wrapping_add(number);
        for peer in &peers {
            fx.push(HolderEffect::Send {
                to: peer.clone(),
                message: PeerMessage::Ask(TokenRequest {
                    budget: self.budget.clone(),
                    tokens,
                    ask: request_id,
                }),
            });
        }
        if let Some(round) = &mut self.round {
            round.until = now + self.options.peer_wait_limit;
            round.unanswered = peers;
            round.request_id = request_id;
            round.requests_made += 1;
            round.received_tokens = 0;
        }
    }

    fn likely_senders(&self) -> BTreeSet<InstanceId> {
        let held_tokens = |peer: &InstanceId| {
            self.view
                .as_ref()
                .map_or(0, |(_, ledger)| ledger.held_tokens(peer))
        };
        let mut peers: Vec<&InstanceId> = self.peers.iter().collect();
        peers.sort_by_key(|peer| std::cmp::Reverse(held_tokens(peer)));
        peers.into_iter().take(REQUEST_PEERS_MAX).cloned().collect()
    }

    /// Handles a peer's request for tokens: transfers free tokens, or answers that there are none.
    pub fn on_token_request(
        &mut self,
        now: Duration,
        from: &InstanceId,
        ask: &TokenRequest,
        fx: &mut Vec<HolderEffect>,
    ) {
        // Of two instances that both lack tokens, each would keep what the other needs, and neither
        // could serve its run. So the instance whose name sorts first keeps its tokens, and the
        // other one transfers its own.
        let is_needed_here = !self.waiters.is_empty() && self.identity.instance < *from;
        let draws = if is_needed_here || self.is_stopping {
            Vec::new()
        } else {
            self.select_draws(ask.tokens)
        };
        if draws.is_empty() {
            self.send_no_tokens(from, ask.ask, fx);
        }
        for draw in draws {
            self.transfer_out(now, from, ask.ask, draw, fx);
        }
    }

    /// Selects the tokens to transfer, from the holdings with the most free tokens first.
    fn select_draws(&self, wanted_tokens: u64) -> Vec<Draw> {
        let mut remainders: Vec<(u64, &GrantId)> = self
            .holdings
            .iter()
            .map(|(grant, holding)| (holding.free_tokens, grant))
            .filter(|(free, _)| *free > 0)
            .collect();
        remainders.sort_by_key(|(free, _)| std::cmp::Reverse(*free));
        let mut left_tokens = wanted_tokens;
        let mut draws = Vec::new();
        for (free, grant) in remainders.into_iter().take(REQUEST_GRANTS_MAX) {
            let tokens = free.min(left_tokens);
            left_tokens -= tokens;
            if tokens > 0 {
                draws.push(Draw {
                    grant: grant.clone(),
                    tokens,
                });
            }
        }
        draws
    }

    fn send_no_tokens(&self, to: &InstanceId, request_id: u64, fx: &mut Vec<HolderEffect>) {
        fx.push(HolderEffect::Send {
            to: to.clone(),
            message: PeerMessage::Give(TokenTransfer {
                ask: request_id,
                budget: self.budget.clone(),
                ..TokenTransfer::default()
            }),
        });
    }

    fn transfer_out(
        &mut self,
        now: Duration,
        to: &InstanceId,
        request_id: u64,
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
        self.outgoing_transfers.insert(
            transfer.clone(),
            OutgoingTransfer {
                to: to.clone(),
                request_id,
                plan: plan.clone(),
                origins,
                resend_at: None,
                until: now + RESEND_TIMEOUT,
            },
        );
        fx.push(HolderEffect::Transfer { transfer, plan });
    }

    /// Sends a transfer. To be called once its record is kept, or at once if its grant is open.
    pub fn send_transfer(&mut self, now: Duration, transfer: &GrantId, fx: &mut Vec<HolderEffect>) {
        if let Some(outgoing) = self.outgoing_transfers.get_mut(transfer) {
            outgoing.resend_at = Some(now + RESEND_INTERVAL);
            fx.push(transfer_message(&self.budget, transfer, outgoing));
            let grant = outgoing.plan.draw.grant.clone();
            self.unentered_transfers.insert(transfer.clone(), grant);
        }
    }

    /// Cancels a transfer that was never sent and answers the peer that there are no tokens.
    pub fn cancel_transfer(&mut self, transfer: &GrantId, fx: &mut Vec<HolderEffect>) {
        let Some(outgoing) = self.outgoing_transfers.remove(transfer) else {
            return;
        };
        self.put_back(&outgoing.plan.draw.grant, outgoing.plan.draw.tokens);
        self.send_no_tokens(&outgoing.to, outgoing.request_id, fx);
    }

    pub(super) fn resend_transfers(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        self.outgoing_transfers
            .retain(|_, outgoing| outgoing.resend_at.is_none() || now < outgoing.until);
        for (transfer, outgoing) in &mut self.outgoing_transfers {
            if outgoing.resend_at.is_some_and(|at| at <= now) {
                outgoing.resend_at = Some(now + RESEND_INTERVAL);
                fx.push(transfer_message(&self.budget, transfer, outgoing));
            }
        }
    }

    /// Handles a recipient's confirmation that a transfer has arrived.
    pub fn on_transfer_confirmed(&mut self, transfer: &GrantId) {
        self.outgoing_transfers.remove(transfer);
        self.drop_empty_holdings();
    }

    /// Handles a peer's answer to a request for tokens and accepts the transferred tokens, if any.
    pub fn on_transfer(
        &mut self,
        now: Duration,
        from: &InstanceId,
        give: &TokenTransfer,
        fx: &mut Vec<HolderEffect>,
    ) {
        let is_requested = self.is_own_request(give.ask);
        if give.tokens > 0 && is_requested {
            self.confirm_transfer(from, give, fx);
            // A resent transfer may arrive twice; it is accepted once.
            if self
                .accepted_transfers
                .insert((self.request_number(give.ask), give.transfer.clone()))
            {
                self.accept_transfer(from, give, fx);
            }
            self.forget_old_requests();
        }
        if let Some(round) = &mut self.round
            && round.request_id == give.ask
        {
            round.unanswered.remove(from);
            round.received_tokens = round.received_tokens.saturating_add(give.tokens);
        }
        self.advance_round(now, fx);
        self.advance_waiters(now, fx);
        self.flush_due(now, fx);
    }

    /// Returns whether a request was made by this holder and is still remembered.
    ///
    /// A transfer to an earlier incarnation is not accepted, because that incarnation may have
    /// spent its tokens.
    fn is_own_request(&self, request_id: u64) -> bool {
        let number = self.request_number(request_id);
        number > self.first_number && number <= self.next_number && number >= self.oldest_request
    }

    fn request_number(&self, request_id: u64) -> u64 {
        request_id.wrapping_sub(self.identity.incarnation)
    }

    /// Limits the number of remembered transfers.
    ///
    /// A transfer for a forgotten request is ignored, since it may have been accepted before; its
    /// tokens stay in the sender's grant.
    fn forget_old_requests(&mut self) {
        while self.accepted_transfers.len() > ACCEPTED_TRANSFERS_MAX {
            if let Some((number, _)) = self.accepted_transfers.pop_first() {
                self.oldest_request = number + 1;
            }
        }
    }

    fn confirm_transfer(
        &self,
        from: &InstanceId,
        give: &TokenTransfer,
        fx: &mut Vec<HolderEffect>,
    ) {
        fx.push(HolderEffect::Send {
            to: from.clone(),
            message: PeerMessage::Take(TransferConfirmation {
                transfer: give.transfer.clone(),
                budget: self.budget.clone(),
            }),
        });
    }

    fn accept_transfer(
        &mut self,
        from: &InstanceId,
        give: &TokenTransfer,
        fx: &mut Vec<HolderEffect>,
    ) {
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
    pub(super) fn advance_round(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let missing_tokens = self.missing_tokens();
        let Some(round) = &mut self.round else {
            return;
        };
        let is_late = now >= round.until;
        if round.is_delaying && missing_tokens > 0 {
            if is_late {
                round.is_delaying = false;
                self.request_from_peers(now, fx);
            }
            return;
        }
        let is_answered = round.unanswered.is_empty();
        if !is_answered && !is_late && missing_tokens > 0 {
            return;
        }
        round.has_unanswered |= !is_answered;

        // Peers answer a request from a limited number of grants; repeat it while it brings tokens.
        let is_worth_more = missing_tokens > 0
            && round.received_tokens > 0
            && round.requests_made < ROUND_REQUESTS_MAX;
        if is_worth_more {
            self.request_from_peers(now, fx);
            return;
        }
        // A peer that lacked tokens itself may have released in the meantime the tokens that it had
        // collected, so the request is made once more.
        if missing_tokens > 0 && !round.is_last_request {
            round.is_last_request = true;
            if is_late {
                self.request_from_peers(now, fx);
            } else {
                round.until = now + LAST_REQUEST_DELAY;
                round.is_delaying = true;
            }
            return;
        }
        let state = if round.has_unanswered || self.has_silent_peers {
            SourceState::Unreachable
        } else {
            SourceState::Empty
        };
        if missing_tokens > 0 {
            self.unsuccessful_round_at = Some(now);
        }
        self.round = None;
        for waiter in &mut self.waiters {
            if waiter.peers == SourceState::Requested {
                waiter.peers = state;
            }
        }
    }
}

fn transfer_message(
    budget: &BudgetId,
    transfer: &GrantId,
    outgoing: &OutgoingTransfer,
) -> HolderEffect {
    HolderEffect::Send {
        to: outgoing.to.clone(),
        message: PeerMessage::Give(TokenTransfer {
            ask: outgoing.request_id,
            budget: budget.clone(),
            transfer: transfer.clone(),
            grant: outgoing.plan.draw.grant.clone(),
            tokens: outgoing.plan.draw.tokens,
            origins: outgoing.origins.clone(),
        }),
    }
}
