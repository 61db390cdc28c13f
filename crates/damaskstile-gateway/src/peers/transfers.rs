//! Token transfers between instances.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::{DatagramBody, Peers, TokenRequest, TokenTransfer};

impl Peers {
    /// Makes the token requests for each account whose tokens calls lack here, addressed to the
    /// peers that last reported the most free tokens.
    pub(super) fn token_requests(&self) -> Vec<(SocketAddr, TokenRequest)> {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let wanted = std::mem::take(&mut state.wanted_tokens);
        wanted
            .into_iter()
            .flat_map(|(account, tokens)| {
                let senders = state.token_senders(now, &account, tokens);
                senders.into_iter().map(move |(address, tokens)| {
                    let account = account.clone();
                    (address, TokenRequest { account, tokens })
                })
            })
            .collect()
    }

    /// Makes the transfers that return, at a stop, the tokens that peers transferred to this
    /// instance.
    pub(super) fn token_returns(&self) -> Vec<(SocketAddr, TokenTransfer)> {
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
                    TokenTransfer {
                        account,
                        tokens,
                        number,
                    },
                ));
            }
        }
        transfers
    }

    pub(super) async fn answer_token_request(
        &self,
        from: &str,
        request: TokenRequest,
        address: SocketAddr,
    ) {
        let now = self.gateway.now();
        let (tokens, number) = {
            let mut state = self.gateway.state();
            let tokens = state
                .holder
                .transfer_out(now, &request.account, request.tokens);
            state.transfers_made += u64::from(tokens > 0);
            (tokens, state.transfers_made)
        };
        if tokens < request.tokens {
            self.gateway.round_wanted.notify_one();
        }
        if tokens == 0 {
            return;
        }
        let transfer = TokenTransfer {
            account: request.account,
            tokens,
            number,
        };
        self.log_transfer(EventCode::TokensGiven, from, &transfer);
        self.send(address, DatagramBody::TokenTransfer(transfer))
            .await;
    }

    pub(super) fn accept_transfer(&self, from: &str, incarnation: u64, transfer: &TokenTransfer) {
        {
            let mut state = self.gateway.state();
            // The network may deliver a datagram twice; accepting the same transfer twice would
            // allow its tokens to be spent twice.
            let is_first = state
                .transfers_accepted
                .entry((from.to_owned(), incarnation))
                .or_default()
                .insert(transfer.number);
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

    pub(super) fn log_transfer(&self, code: EventCode, peer: &str, transfer: &TokenTransfer) {
        let tokens = transfer.tokens.to_string();
        let number = transfer.number.to_string();
        let fields = [
            ("peer", peer),
            ("account", transfer.account.as_str()),
            ("tokens", tokens.as_str()),
            ("gift", number.as_str()),
        ];
        self.gateway.log(code, &fields);
    }
}
