//! What an instance knows of brittle targets.

use std::cell::RefCell;

use damaskstile_core::prelude::*;

use crate::limit_report::LimitReport;

/// State of the fleet view and number of targets, on which it depends where an instance has slots.
type SlotsBasis = (u64, usize);

/// What an instance knows of brittle targets, by service.
#[derive(Debug, Default)]
pub(super) struct BrittleState {
    /// How many calls a second the targets may reject.
    pub(super) limits: BTreeMap<ServiceId, LimitReport>,
    /// When a target last rejected a call of this instance.
    pub(super) rejected_at: BTreeMap<ServiceId, Duration>,
    /// Whether this instance has a slot at any target, with what that is based on.
    pub(super) slots_at_any: RefCell<BTreeMap<ServiceId, (SlotsBasis, bool)>>,
}

impl BrittleState {
    /// Drops services that no longer exist.
    pub(super) fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.limits.retain(|service, _| exists(service));
        self.rejected_at.retain(|service, _| exists(service));
        let mut slots_at_any = self.slots_at_any.borrow_mut();
        slots_at_any.retain(|service, _| exists(service));
    }
}
