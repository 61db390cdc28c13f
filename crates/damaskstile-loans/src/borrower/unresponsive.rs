//! Tracks lenders that did not answer.
//!
//! A lender that ended or is cut off does not answer, and each call that asks it first waits until
//! its request times out. So after a missing answer the lender is skipped for a time, which doubles
//! with each further miss until the lender answers again.

use damaskstile_core::prelude::*;

/// Time for which a lender is skipped after its first missing answer. A single lost datagram then
/// diverts its account's calls to other lenders for two seconds; a lender that ended delays one
/// call in two seconds, then fewer.
const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// Longest time for which a lender is skipped, and so the longest until a lender that is back is
/// found again.
const LONGEST_BACKOFF: Duration = Duration::from_secs(16);

/// Lenders that did not answer.
#[derive(Debug, Default)]
pub(super) struct UnresponsiveLenders {
    lenders: BTreeMap<InstanceId, Backoff>,
}

#[derive(Debug)]
struct Backoff {
    until: Duration,
    span: Duration,
}

impl UnresponsiveLenders {
    pub(super) fn note_no_answer(&mut self, now: Duration, lender: &str) {
        let span = match self.lenders.get(lender) {
            // Several calls that waited at the same time report the same missing answer.
            Some(backoff) if now < backoff.until => return,
            Some(backoff) => (backoff.span * 2).min(LONGEST_BACKOFF),
            None => FIRST_BACKOFF,
        };
        let until = now + span;
        self.lenders
            .insert(lender.to_owned(), Backoff { until, span });
    }

    pub(super) fn clear(&mut self, lender: &str) {
        self.lenders.remove(lender);
    }

    pub(super) fn is_backed_off(&self, now: Duration, lender: &str) -> bool {
        let backoff = self.lenders.get(lender);
        backoff.is_some_and(|backoff| now < backoff.until)
    }
}
