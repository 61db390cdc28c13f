//! Decides how many targets of a service take its bulk prompts, and which.

use damaskstile_core::prelude::*;
use damaskstile_core::random::stable_hash;

use super::index::ServiceIndex;

/// Share of its time that a target spends on the prefill of bulk prompts.
const BUSY_SHARE: f64 = 0.6;
/// Number of targets below which none is set apart: it would stand idle for an occasional prompt.
const TARGETS_MIN: f64 = 0.5;
/// Share of the next smaller number below which the number shrinks. Each change moves the affinity
/// targets of many prefixes, whose cached parts are prefilled again.
const SHRINK_SHARE: f64 = 0.6;

/// The targets of a service that take its bulk prompts: those from a key on in the order of
/// reservation, whose other end is reserved for long prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct BulkTargets {
    /// Number of targets.
    pub(super) count: usize,
    /// Lowest key.
    pub(super) from_key: u64,
    /// Bulk prompts of this instance that may be prefilled at the same time.
    pub(super) limit: usize,
}

/// Bulk targets together with the index that holds their order.
#[derive(Debug, Clone, Copy)]
pub(super) struct BulkRange<'a> {
    pub(super) index: &'a ServiceIndex,
    pub(super) from_key: u64,
}

impl<'a> BulkRange<'a> {
    pub(super) fn contains(&self, target: &str) -> bool {
        self.index.reservation_key(target) >= self.from_key
    }

    /// Returns the targets, beginning at the position of a shared prefix.
    pub(super) fn in_order_from(
        self,
        shared_prefix: &str,
    ) -> impl Iterator<Item = &'a TargetId> + use<'a> {
        let position = stable_hash(&[shared_prefix]);
        self.index.bulk_from(self.from_key, position)
    }
}

/// Returns the number of targets that a load needs, given the present number. Numbers are 0, 1 and
/// each further one twice the one before, so that instances whose sums differ choose the same and
/// the number changes rarely.
pub(super) fn targets_for(ms_per_s: f64, present: usize) -> usize {
    let wanted = ms_per_s / 1_000.0 / BUSY_SHARE;
    let mut step = usize::from(wanted >= TARGETS_MIN);
    while step > 0 && as_f64(step) < wanted {
        step = step_after(step);
    }
    let border = if step == 0 { TARGETS_MIN } else { as_f64(step) };
    if step_after(step) == present && wanted >= border * SHRINK_SHARE {
        present
    } else {
        step
    }
}

fn step_after(step: usize) -> usize {
    (step * 2).max(1)
}

#[allow(clippy::cast_precision_loss)] // numbers of targets, far below 2^52
fn as_f64(number: usize) -> f64 {
    number as f64
}
