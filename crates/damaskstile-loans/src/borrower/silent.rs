//! Tracks lenders that did not answer.
//!
//! A lender that ended or is cut off does not answer, and each call that asks it first waits until
//! its request times out. So after a missing answer the lender is skipped for a time, which doubles
//! with each further miss until the lender answers again.

use damaskstile_core::prelude::*;

/// Time for which a lender is skipped after its first missing answer. A single lost datagram then
/// diverts its account's calls to other lenders for two seconds; a lender that ended delays one
/// call in two seconds, then fewer.
const FIRST: Duration = Duration::from_secs(2);
/// Longest time for which a lender is skipped, and so the longest until a lender that is back is
/// found again.
const LONGEST: Duration = Duration::from_secs(16);

/// Lenders that did not answer.
#[derive(Debug, Default)]
pub(super) struct Silent {
    lenders: BTreeMap<InstanceId, Silence>,
}

#[derive(Debug)]
struct Silence {
    until: Duration,
    span: Duration,
}

impl Silent {
    pub(super) fn note(&mut self, now: Duration, lender: &str) {
        let span = match self.lenders.get(lender) {
            // Several calls that waited at the same time report the same missing answer.
            Some(silence) if now < silence.until => return,
            Some(silence) => (silence.span * 2).min(LONGEST),
            None => FIRST,
        };
        let until = now + span;
        self.lenders
            .insert(lender.to_owned(), Silence { until, span });
    }

    pub(super) fn hear(&mut self, lender: &str) {
        self.lenders.remove(lender);
    }

    pub(super) fn is_silent(&self, now: Duration, lender: &str) -> bool {
        let silence = self.lenders.get(lender);
        silence.is_some_and(|silence| now < silence.until)
    }
}
