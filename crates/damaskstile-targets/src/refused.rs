//! `refused` is an entry of the list that names no target to use.

use damaskstile_core::prelude::*;

/// `Refused` is an entry of the list that names no target to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// Name of the entry.
    pub target: TargetId,
    /// What is wrong with it.
    pub fault: String,
}
