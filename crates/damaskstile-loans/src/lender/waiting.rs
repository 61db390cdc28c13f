//! Queue of loan requests that wait for tokens.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::LoanId;
use crate::loan::LoanAsk;

/// Largest number of requests that may wait at once. With more, the store would bring too few
/// tokens in any case; the oldest is dropped.
const WAITING_MAX: usize = 512;

/// A request that waits for tokens.
#[derive(Debug)]
pub(super) struct WaitingAsk {
    pub address: SocketAddr,
    pub ask: LoanAsk,
    asked_at: Duration,
}

/// Requests that wait for tokens, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    asks: VecDeque<(LoanId, WaitingAsk)>,
}

impl Waiting {
    pub(super) fn add(&mut self, now: Duration, id: LoanId, address: SocketAddr, ask: LoanAsk) {
        if self.asks.len() >= WAITING_MAX {
            self.asks.pop_front();
        }
        let waiting = WaitingAsk {
            address,
            ask,
            asked_at: now,
        };
        self.asks.push_back((id, waiting));
    }

    pub(super) fn contains(&self, id: &LoanId) -> bool {
        self.asks.iter().any(|(one, _)| one == id)
    }

    pub(super) fn remove(&mut self, id: &LoanId) {
        self.asks.retain(|(one, _)| one != id);
    }

    /// Removes all requests and returns those that have not exceeded the longest wait.
    pub(super) fn take(&mut self, now: Duration, wait_max: Duration) -> Vec<(LoanId, WaitingAsk)> {
        let is_awaited = |asked: &WaitingAsk| now.saturating_sub(asked.asked_at) < wait_max;
        let all = self.asks.drain(..);
        all.filter(|(_, asked)| is_awaited(asked)).collect()
    }

    pub(super) fn put_back(&mut self, id: LoanId, asked: WaitingAsk) {
        self.asks.push_back((id, asked));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.asks.is_empty()
    }
}
