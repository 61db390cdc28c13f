//! Moves old entries from the ledger into separate pages of bills.

use damaskstile_core::prelude::*;

use super::Holder;
use crate::effect::HolderEffect;
use crate::entry::Entry;
use crate::ledger::{PAGE_ENTRIES, RECENT_ENTRIES};
use crate::op::LedgerOp;

impl Holder {
    /// Stores the oldest entries as a page once the ledger holds [`RECENT_ENTRIES`] entries plus a
    /// full page.
    pub(super) fn store_page(&mut self, fx: &mut Vec<HolderEffect>) {
        let Some((_, ledger)) = &self.view else {
            return;
        };
        let is_long = ledger.entries.len() >= RECENT_ENTRIES + PAGE_ENTRIES;
        if !is_long || self.page_in_flight.is_some() {
            return;
        }
        // Entries are only appended at the end and removed from the front in whole pages. So every
        // instance that writes page n writes the same content, and a second write has no effect.
        let page: &[Entry] = &ledger.entries[..PAGE_ENTRIES];
        if let Ok(value) = serde_json::to_string(page) {
            let number = ledger.next_page;
            self.page_in_flight = Some(number);
            fx.push(HolderEffect::WritePage {
                page: number,
                value,
            });
        }
    }

    /// Handles the store's answer to the write of a page.
    pub fn on_page_stored(&mut self, now: Duration, answer: &StoreAnswer) {
        let Some(page) = self.page_in_flight.take() else {
            return;
        };
        let is_stored = matches!(
            answer,
            StoreAnswer::Written { .. } | StoreAnswer::Conflict(Some(_))
        );
        if is_stored {
            self.next_flush_at = self.next_flush_at.min(now);
            // First in the queue, so that the pending entries find room in the ledger.
            self.pending.insert(0, LedgerOp::DropPage { page });
        }
    }
}
