//! `of_route` is a bounded record of how long the calls of one route lasted.

use damaskstile_core::prelude::*;

/// Of so many calls that a stop takes, one may last longer than the stop can wait.
///
/// A call that is cut loses its answer, or the rest of it where it may be resumed. A refused one
/// loses some milliseconds, and its answer too where it meets another instance that stops and its
/// caller asks no third time. Instances that stop in turn make that one in ten or so, and stricter
/// bounds (20, 50) were measured to leave more calls without an answer than they save.
const ONE_IN: u64 = 10;
/// Calls of a generation; one to two of them are remembered. That is enough for ten calls that are
/// longer than the bound, and is a minute or so of a busy route.
const GENERATION_CALLS: u64 = 512;
/// Parts of each doubling of the time, as a power of two: times are told apart by an eighth.
const PARTS_BITS: u32 = 3;
/// Longest time that is told apart, in milliseconds; nine hours, far beyond any limit of a call.
const LONGEST_MS: u64 = 1 << 25;

/// `RouteTimes` is a bounded record of how long the calls of one route lasted.
///
/// It counts calls by time in steps that grow with the time. Two generations take turns: when the
/// newer one is full the older one is forgotten, so the record follows the route.
#[derive(Debug, Clone, Default)]
pub struct RouteTimes {
    newer: BTreeMap<u64, u64>,
    newer_calls: u64,
    older: BTreeMap<u64, u64>,
    older_calls: u64,
}

impl RouteTimes {
    /// Notes how long a call lasted.
    pub fn note(&mut self, took: Duration) {
        if self.newer_calls >= GENERATION_CALLS {
            self.older = std::mem::take(&mut self.newer);
            self.older_calls = std::mem::take(&mut self.newer_calls);
        }
        *self.newer.entry(step_of(took)).or_default() += 1;
        self.newer_calls += 1;
    }

    /// Tells whether a call can be expected to be over within some time.
    ///
    /// The next call after `n` lasts longer than all of them with a chance of 1 in `n + 1`. Beyond
    /// the longest the chance is taken to sink only as the time grows, which is slower than of any
    /// route in view, so that a few short calls tell something and do not tell too much.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::call_times::RouteTimes;
    /// let mut times = RouteTimes::default();
    /// times.note(Duration::from_secs(2));
    /// assert!(!times.is_over_within(Duration::from_secs(4)));
    /// ```
    #[must_use]
    pub fn is_over_within(&self, time: Duration) -> bool {
        let time_ms = millis(time);
        let generations = [&self.newer, &self.older];
        let longest_ms = generations
            .iter()
            .filter_map(|counts| counts.last_key_value())
            .map(|(step, _)| end_of(*step))
            .max();
        let Some(longest_ms) = longest_ms.filter(|_| time_ms > 0) else {
            return false;
        };
        // The step in which the time falls counts as longer.
        let step = step_of(time);
        let longer: u64 = generations
            .iter()
            .flat_map(|counts| counts.range(step..))
            .map(|(_, calls)| calls)
            .sum();
        let calls = self.newer_calls + self.older_calls;
        let longer_calls_ms = longer * time_ms + longest_ms.min(time_ms);
        longer_calls_ms * ONE_IN <= (calls + 1) * time_ms
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis())
        .unwrap_or(LONGEST_MS)
        .min(LONGEST_MS)
}

/// Returns the step in which a time falls. Up to 8 ms a step is a millisecond.
fn step_of(time: Duration) -> u64 {
    let ms = millis(time);
    let doublings = ms.checked_ilog2().unwrap_or(0);
    let shift = doublings.saturating_sub(PARTS_BITS);
    (u64::from(shift) << PARTS_BITS) + (ms >> shift)
}

/// Returns the end of a step, in milliseconds.
fn end_of(step: u64) -> u64 {
    let parts = 1 << PARTS_BITS;
    let shift = (step >> PARTS_BITS).saturating_sub(1);
    (step - shift * parts + 1) << shift
}
