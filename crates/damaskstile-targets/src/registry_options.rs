//! `registry_options` sets how targets are chosen.

use damaskstile_core::prelude::*;

use crate::selector::SelectorKind;

/// `RegistryOptions` sets how targets are chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryOptions {
    /// How the target is chosen.
    pub selector: SelectorKind,
    /// Age of evidence past which a target is asked before it gets new work.
    pub evidence_age: Duration,
    /// Time between two questions to a target in use.
    pub probe_interval: Duration,
    /// Time in which the others' part of a load report counts half.
    pub load_half_life: Duration,
    /// Targets of one service that this instance uses, at most.
    pub subset_targets: usize,
    /// Load at which a target gets no more, in hundredths of its slots.
    pub full_percent: u64,
}

impl Default for RegistryOptions {
    fn default() -> Self {
        Self {
            selector: SelectorKind::default(),
            evidence_age: Duration::from_secs(3),
            probe_interval: Duration::from_secs(1),
            load_half_life: Duration::from_secs(2),
            subset_targets: 32,
            full_percent: 200,
        }
    }
}
