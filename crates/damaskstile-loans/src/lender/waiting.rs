//! Queue of loan requests that wait for tokens.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use super::LoanId;
use crate::loan::LoanRequest;

/// Largest number of requests that may wait at once. With more, the store would bring too few
/// tokens in any case; the oldest is dropped.
const WAITING_MAX: usize = 512;

/// A request that waits for tokens.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub address: SocketAddr,
    pub request: LoanRequest,
    requested_at: Duration,
}

/// Requests that wait for tokens, in order of arrival.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    requests: VecDeque<(LoanId, WaitingRequest)>,
}

impl Waiting {
    pub(super) fn add(
        &mut self,
        now: Duration,
        id: LoanId,
        address: SocketAddr,
        request: LoanRequest,
    ) {
        if self.requests.len() >= WAITING_MAX {
            self.requests.pop_front();
        }
        let waiting = WaitingRequest {
            address,
            request,
            requested_at: now,
        };
        self.requests.push_back((id, waiting));
    }

    pub(super) fn contains(&self, id: &LoanId) -> bool {
        self.requests.iter().any(|(one, _)| one == id)
    }

    pub(super) fn remove(&mut self, id: &LoanId) {
        self.requests.retain(|(one, _)| one != id);
    }

    /// Removes all requests and returns those that have not exceeded the longest wait.
    pub(super) fn take(
        &mut self,
        now: Duration,
        wait_max: Duration,
    ) -> Vec<(LoanId, WaitingRequest)> {
        let is_awaited =
            |request: &WaitingRequest| now.saturating_sub(request.requested_at) < wait_max;
        let all = self.requests.drain(..);
        all.filter(|(_, request)| is_awaited(request)).collect()
    }

    pub(super) fn put_back(&mut self, id: LoanId, request: WaitingRequest) {
        self.requests.push_back((id, request));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
