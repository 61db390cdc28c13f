//! `target_end` is the end of a target while it ran a call.

use damaskstile_core::prelude::*;

/// Time between two ends of an incarnation that differ, at least. Instances notice one end within
/// milliseconds, and a target that starts again under its name, without a start that tells its
/// incarnations apart, takes longer.
const SAME_WITHIN: Duration = Duration::from_millis(800);

/// `TargetEnd` is the end of a target while it ran a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEnd {
    /// The target, with its incarnation.
    pub target: TargetIdentity,
    /// When it was noticed.
    pub at: Duration,
}

impl TargetEnd {
    /// Tells whether both are the same end, noticed by two calls or two instances.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_requests::TargetEnd;
    /// let end = |at_ms| TargetEnd {
    ///     target: TargetIdentity::new("t", None),
    ///     at: Duration::from_millis(at_ms),
    /// };
    /// assert!(end(1_000).is_same(&end(1_003)));
    /// assert!(!end(1_000).is_same(&end(4_000)));
    /// ```
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.target == other.target && self.at.abs_diff(other.at) < SAME_WITHIN
    }
}
