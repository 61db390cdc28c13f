//! `pages` moves old entries out of the ledger, each page written once.

use damaskstile_core::prelude::*;

use super::Holder;
use crate::effect::HolderEffect;
use crate::entry::Entry;
use crate::ledger::{PAGE_ENTRIES, RECENT_ENTRIES};
use crate::op::LedgerOp;

impl Holder {
    /// Stores the oldest entries as a page of their own when the ledger has grown long.
    pub(super) fn store_page(&mut self, fx: &mut Vec<HolderEffect>) {
        let Some((_, ledger)) = &self.view else {
            return;
        };
        let is_long = ledger.entries.len() >= RECENT_ENTRIES + PAGE_ENTRIES;
        if !is_long || self.page_in_flight.is_some() {
            return;
        }
        // Entries are only ever added at the end and taken from the front as whole pages. So
        // whoever writes page n writes the same content, and a second write changes nothing.
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

    /// Takes the store's answer to the write of a page.
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
            // Before the bills that wait, so that there is room for them.
            self.pending.insert(0, LedgerOp::DropPage { page });
        }
    }
}
