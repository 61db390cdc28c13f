//! Options of the registry of targets.

use damaskstile_core::prelude::*;

use crate::selector::SelectorKind;

/// Options of the registry of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryOptions {
    /// Strategy of selection.
    pub selector: SelectorKind,
    /// Age past which evidence no longer allows new requests to a target.
    pub evidence_age: Duration,
    /// Time between two probes of a target.
    pub probe_interval: Duration,
    /// Time in which the other instances' share of a load report counts half.
    pub load_half_life: Duration,
    /// Most targets of one service that this instance uses.
    pub subset_targets: usize,
    /// Load at which a target receives no more, in hundredths of its slots.
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
