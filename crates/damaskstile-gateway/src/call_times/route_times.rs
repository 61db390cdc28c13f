//! Bounded histogram of the call durations of one route.

use damaskstile_core::prelude::*;

/// A call is accepted during a shutdown if at most one such call in this many is expected to
/// outlast it.
///
/// A call that is cut off loses its answer, or the rest of it where it may be resumed. A refused
/// call loses some milliseconds; it loses its answer too if its retry meets another instance that
/// is shutting down, since callers retry only once. With instances restarted in turn that happens
/// to about one in ten. Stricter bounds (20, 50) left more calls without an answer than they saved.
const EXPECTED_CUT_ONE_IN: u64 = 10;
/// Calls per generation; between one and two generations are remembered. That covers ten calls
/// longer than the bound, and about a minute of a busy route.
const GENERATION_CALLS: u64 = 512;
/// Buckets per doubling of the duration, as a power of two: durations are resolved to an eighth.
const BUCKET_BITS: u32 = 3;
/// Largest duration that is resolved, in milliseconds: nine hours, far beyond the time limit of any
/// call.
const DURATION_MAX_MS: u64 = 1 << 25;

/// Bounded histogram of the call durations of one route.
///
/// Bucket widths grow with the duration. Two generations alternate: when the newer one is full the
/// older one is dropped, so the histogram follows changes of the route.
#[derive(Debug, Clone, Default)]
pub struct RouteTimes {
    newer: BTreeMap<u64, u64>,
    newer_calls: u64,
    older: BTreeMap<u64, u64>,
    older_calls: u64,
}

impl RouteTimes {
    /// Records the duration of a call.
    pub fn note(&mut self, took: Duration) {
        if self.newer_calls >= GENERATION_CALLS {
            self.older = std::mem::take(&mut self.newer);
            self.older_calls = std::mem::take(&mut self.newer_calls);
        }
        *self.newer.entry(bucket_of(took)).or_default() += 1;
        self.newer_calls += 1;
    }

    /// Returns whether a call is expected to finish within `time`.
    ///
    /// After `n` calls, the next one lasts longer than all of them with a probability of 1 in `n +
    /// 1`. Beyond the longest duration seen, that probability is assumed to fall in inverse
    /// proportion to the time. Real routes fall faster, so a few short calls give some information
    /// without too much confidence.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_gateway::call_times::RouteTimes;
    /// let mut times = RouteTimes::default();
    /// times.note(Duration::from_secs(2));
    /// assert!(!times.finishes_within(Duration::from_secs(4)));
    /// ```
    #[must_use]
    pub fn finishes_within(&self, time: Duration) -> bool {
        let time_ms = millis(time);
        let generations = [&self.newer, &self.older];
        let longest_ms = generations
            .iter()
            .filter_map(|counts| counts.last_key_value())
            .map(|(bucket, _)| bucket_end_ms(*bucket))
            .max();
        let Some(longest_ms) = longest_ms.filter(|_| time_ms > 0) else {
            return false;
        };
        // Calls in the bucket of `time` itself are counted as longer.
        let bucket = bucket_of(time);
        let longer: u64 = generations
            .iter()
            .flat_map(|counts| counts.range(bucket..))
            .map(|(_, calls)| calls)
            .sum();
        let calls = self.newer_calls + self.older_calls;
        let longer_calls_ms = longer * time_ms + longest_ms.min(time_ms);
        longer_calls_ms * EXPECTED_CUT_ONE_IN <= (calls + 1) * time_ms
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis())
        .unwrap_or(DURATION_MAX_MS)
        .min(DURATION_MAX_MS)
}

/// Returns the bucket of a duration. Up to 8 ms a bucket is one millisecond wide.
fn bucket_of(time: Duration) -> u64 {
    let ms = millis(time);
    let doublings = ms.checked_ilog2().unwrap_or(0);
    let shift = doublings.saturating_sub(BUCKET_BITS);
    (u64::from(shift) << BUCKET_BITS) + (ms >> shift)
}

/// Returns the upper bound of a bucket, in milliseconds.
fn bucket_end_ms(bucket: u64) -> u64 {
    let parts = 1 << BUCKET_BITS;
    let shift = (bucket >> BUCKET_BITS).saturating_sub(1);
    (bucket - shift * parts + 1) << shift
}
