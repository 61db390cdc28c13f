//! Turns of calls that only a lower limit rejects.

use damaskstile_core::prelude::*;

use super::turn::Turn;

/// One such call in this many is judged by a relaxed limit.
const RELAXED_CALLS: u32 = 4;
/// One such call in this many is judged by the full limit, also while urgent calls alone keep the
/// queues above the relaxed one.
const FULL_CALLS: u32 = 16;
/// Maximum number of counts of accounts. Further accounts share one count for each rank.
const COUNTS_MAX: usize = 1_024;

/// Counts calls that only a lower limit rejects, by rank and account, so that neither is starved.
#[derive(Debug, Clone, Default)]
pub struct Turns {
    counts: BTreeMap<(u8, AccountId), u32>,
}

impl Turns {
    /// Counts such a call; returns by which limit it is judged.
    pub fn next(&mut self, rank: u8, account: &str) -> Turn {
        let mut key = (rank, account.to_owned());
        if self.counts.len() >= COUNTS_MAX && !self.counts.contains_key(&key) {
            key.1.clear();
        }
        let count = self.counts.entry(key).or_default();
        *count = (*count + 1) % FULL_CALLS;
        if *count == 0 {
            Turn::Full
        } else if count.is_multiple_of(RELAXED_CALLS) {
            Turn::Relaxed
        } else {
            Turn::None
        }
    }
}
