//! Crashes of targets.

use damaskstile_core::prelude::*;

/// Observations of one target incarnation closer together than this are the same crash. Instances
/// notice a crash within milliseconds of each other. A target that restarts under its name, without
/// reporting a start time that tells its incarnations apart, takes longer.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(800);

/// `TargetCrash` is the crash of a target while it ran a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetCrash {
    /// Target and its incarnation.
    pub target: TargetIdentity,
    /// When the crash was noticed.
    pub at: Duration,
}

impl TargetCrash {
    /// Returns whether both are the same crash, noticed by two calls or two instances.
    ///
    /// ```
    /// use std::time::Duration;
    /// use damaskstile_core::prelude::TargetIdentity;
    /// use damaskstile_requests::TargetCrash;
    /// let crash = |at_ms| TargetCrash {
    ///     target: TargetIdentity::new("t", None),
    ///     at: Duration::from_millis(at_ms),
    /// };
    /// assert!(crash(1_000).is_same(&crash(1_003)));
    /// assert!(!crash(1_000).is_same(&crash(4_000)));
    /// ```
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.target == other.target && self.at.abs_diff(other.at) < SAME_CRASH_WINDOW
    }
}
