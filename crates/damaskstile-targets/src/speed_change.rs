//! A target that became slow, or no longer is.

use damaskstile_core::prelude::*;

/// A target that became slow compared with the others of its service, or no longer is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpeedChange {
    /// The target and its incarnation.
    pub identity: TargetIdentity,
    /// Lasting factor that the instance's own calls show, in percent.
    pub factor_percent: u64,
    /// Whether it is slow now.
    pub is_slow: bool,
}
