//! End of a loan that its lender has not acknowledged yet.

use std::net::SocketAddr;

use damaskstile_core::prelude::*;

use crate::loan::LoanEnd;

/// Time without an acknowledgement after which an end is sent again. It doubles each time.
const RESEND_AFTER: Duration = Duration::from_millis(250);
/// Time after which an end is no longer sent: the lender has ended or has long been unreachable,
/// and counts the loan as used.
const RESEND_FOR: Duration = Duration::from_secs(20);

/// End of a loan that its lender has not acknowledged yet.
#[derive(Debug)]
pub(super) struct PendingEnd {
    pub address: SocketAddr,
    end: LoanEnd,
    ended_at: Duration,
    due_at: Duration,
    interval: Duration,
}

impl PendingEnd {
    pub(super) fn new(now: Duration, address: SocketAddr, end: LoanEnd) -> Self {
        Self {
            address,
            end,
            ended_at: now,
            due_at: now,
            interval: RESEND_AFTER,
        }
    }

    /// Returns the end if it is due to be sent, and schedules the next time.
    pub(super) fn take_due(&mut self, now: Duration) -> Option<LoanEnd> {
        if now < self.due_at {
            return None;
        }
        self.due_at = now + self.interval;
        self.interval *= 2;
        Some(self.end)
    }

    pub(super) fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.ended_at) >= RESEND_FOR
    }
}
