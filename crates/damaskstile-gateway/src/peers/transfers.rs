//! Token transfers between instances.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::{AskTokens, DatagramBody, GiveTokens, Peers};

impl Peers {
    /// Makes the token requests for each account whose tokens calls lack here, addressed to the
    /// peers that last reported the most free tokens.
    pub(super) fn token_requests(&self) -> Vec<(SocketAddr, AskTokens)> {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let wanted = std::mem::take(&mut state.wanted_tokens);
        wanted
            .into_iter()
            .flat_map(|(account, tokens)| {
                let senders = state.givers(now, &account, tokens);
                senders.into_iter().map(move |(address, tokens)| {
                    let account = account.clone();
                    (address, AskTokens { account, tokens })
                })
            })
            .collect()
    }

    /// Makes the transfers that return, at a stop, the tokens that peers transferred to this
    /// instance.
    pub(super) fn token_returns(&self) -> Vec<(SocketAddr, GiveTokens)> {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        if !state.is_stopping {
            return Vec::new();
        }
        let spare = state.holder.take_unused_transfers();
        let mut transfers = Vec::new();
        for (account, tokens) in spare {
            if let Some(address) = state.richest_member(now, &account) {
                state.transfers_made += 1;
                let number = state.transfers_made;
                transfers.push((
                    address,
                    GiveTokens {
                        account,
                        tokens,
                        gift: number,
                    },
                ));
            }
        }
        transfers
    }

    pub(super) async fn answer_token_request(
        &self,
        from: &str,
        ask: AskTokens,
        address: SocketAddr,
    ) {
        let now = self.gateway.now();
        let (tokens, number) = {
            let mut state = self.gateway.state();
            let tokens = state.holder.transfer_out(now, &ask.account, ask.tokens);
            state.transfers_made += u64::from(tokens > 0);
            (tokens, state.transfers_made)
        };
        if tokens < ask.tokens {
            self.gateway.round_wanted.notify_one();
        }
        if tokens == 0 {
            return;
        }
        let transfer = GiveTokens {
            account: ask.account,
            tokens,
            gift: number,
        };
        self.log_transfer(EventCode::TokensGiven, from, &transfer);
        self.send(address, DatagramBody::Give(transfer)).await;
    }

    pub(super) fn accept_transfer(&self, from: &str, incarnation: u64, transfer: &GiveTokens) {
        {
            let mut state = self.gateway.state();
            // The network may deliver a datagram twice; accepting the same transfer twice would
            // allow its tokens to be spent twice.
            let is_first = state
                .transfers_accepted
                .entry((from.to_owned(), incarnation))
                .or_default()
                .insert(transfer.gift);
            if !is_first {
                return;
            }
            state
                .holder
                .accept_transfer(&transfer.account, transfer.tokens);
        }
        self.log_transfer(EventCode::TokensTaken, from, transfer);
        self.gateway.round_done.notify_waiters();
    }

    pub(super) fn log_transfer(&self, code: EventCode, peer: &str, transfer: &GiveTokens) {
        let tokens = transfer.tokens.to_string();
        let number = transfer.gift.to_string();
        let fields = [
            ("peer", peer),
            ("account", transfer.account.as_str()),
            ("tokens", tokens.as_str()),
            ("gift", number.as_str()),
        ];
        self.gateway.log(code, &fields);
    }
}
