//! Invalid entry of the target list.

use damaskstile_core::prelude::*;

/// Invalid entry of the target list, which names no target to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Name of the entry.
    pub target: TargetId,
    /// What is wrong with it.
    pub fault: String,
}
