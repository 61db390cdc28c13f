//! Token transfers between instances.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::{AskTokens, DatagramBody, GiveTokens, Peers};

impl Peers {
    /// Makes the token requests for each account whose tokens calls lack here, addressed to the
    /// peers that last reported the most free tokens.
    pub(super) fn asks(&self) -> Vec<(SocketAddr, AskTokens)> {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        let wanted = std::mem::take(&mut state.wanted_tokens);
        wanted
            .into_iter()
            .flat_map(|(account, tokens)| {
                let givers = state.givers(now, &account, tokens);
                givers.into_iter().map(move |(address, tokens)| {
                    let account = account.clone();
                    (address, AskTokens { account, tokens })
                })
            })
            .collect()
    }

    /// Makes the transfers that return, at a stop, the tokens that peers transferred to this
    /// instance.
    pub(super) fn returns(&self) -> Vec<(SocketAddr, GiveTokens)> {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        if !state.is_stopping {
            return Vec::new();
        }
        let spare = state.holder.take_back_gifts();
        let mut gifts = Vec::new();
        for (account, tokens) in spare {
            if let Some(address) = state.richest_member(now, &account) {
                state.gifts_made += 1;
                let gift = state.gifts_made;
                gifts.push((
                    address,
                    GiveTokens {
                        account,
                        tokens,
                        gift,
                    },
                ));
            }
        }
        gifts
    }

    pub(super) async fn answer_ask(&self, from: &str, ask: AskTokens, address: SocketAddr) {
        let now = self.gateway.now();
        let (tokens, gift) = {
            let mut state = self.gateway.state();
            let tokens = state.holder.give(now, &ask.account, ask.tokens);
            state.gifts_made += u64::from(tokens > 0);
            (tokens, state.gifts_made)
        };
        if tokens < ask.tokens {
            self.gateway.round_wanted.notify_one();
        }
        if tokens == 0 {
            return;
        }
        let gift = GiveTokens {
            account: ask.account,
            tokens,
            gift,
        };
        self.note_gift(EventCode::TokensGiven, from, &gift);
        self.send(address, DatagramBody::Give(gift)).await;
    }

    pub(super) fn take_gift(&self, from: &str, incarnation: u64, gift: &GiveTokens) {
        {
            let mut state = self.gateway.state();
            // The network may deliver a datagram twice; accepting the same transfer twice would
            // allow its tokens to be spent twice.
            let is_first = state
                .gifts_taken
                .entry((from.to_owned(), incarnation))
                .or_default()
                .insert(gift.gift);
            if !is_first {
                return;
            }
            state.holder.take(&gift.account, gift.tokens);
        }
        self.note_gift(EventCode::TokensTaken, from, gift);
        self.gateway.round_done.notify_waiters();
    }

    pub(super) fn note_gift(&self, code: EventCode, peer: &str, gift: &GiveTokens) {
        let tokens = gift.tokens.to_string();
        let number = gift.gift.to_string();
        let fields = [
            ("peer", peer),
            ("account", gift.account.as_str()),
            ("tokens", tokens.as_str()),
            ("gift", number.as_str()),
        ];
        self.gateway.log(code, &fields);
    }
}
