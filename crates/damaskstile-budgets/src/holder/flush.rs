//! Writes batches of changes to the stored ledger, each exactly once.

use damaskstile_core::prelude::*;

use super::Holder;
use super::batch::Batch;
use super::holding::Holding;
use super::refill::SourceState;
use crate::effect::HolderEffect;
use crate::ledger::{Ledger, PAGE_ENTRIES, RECENT_ENTRIES};
use crate::op::LedgerOp;
use crate::records::run_number;

/// Wait after the first lost answer of the store; doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest wait after lost answers of the store.
const BACKOFF_MAX: Duration = Duration::from_secs(3);
/// Maximum number of changes in a batch.
const BATCH_OPS_MAX: usize = 512;
/// Time without use after which the ledger is dropped from memory.
const VIEW_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

impl Holder {
    pub(super) fn flush_due(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        if let Some(batch) = &self.batch {
            let is_due = !batch.is_in_flight && self.retry_at.is_some_and(|at| at <= now);
            if is_due {
                self.read(fx);
            }
            return;
        }
        let due_at = self.retry_at.unwrap_or(self.next_flush_at);
        if !self.pending.is_empty() && now >= due_at {
            self.flush(now, fx);
        }
        let is_idle = now.saturating_sub(self.last_used_at) > VIEW_IDLE_TIMEOUT;
        if is_idle && self.batch.is_none() && self.page_in_flight.is_none() {
            self.view = None;
        }
    }

    /// Starts to write pending changes to the store, unless a batch is in flight.
    pub(super) fn flush(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        if self.batch.is_some() || self.pending.is_empty() {
            return;
        }
        self.return_small_remainders();
        // Many entries are pending after a store outage. Written in one batch, the ledger would
        // exceed the size limit of the store, on this attempt and on every later one.
        let rest = self
            .pending
            .split_off(self.pending.len().min(self.batch_ops_max()));
        let number = self.settled_below(&rest);
        self.pending.push(LedgerOp::SettledBelow { number });
        self.last_batch += 1;
        self.next_flush_at = now + self.options.flush_interval;
        self.batch = Some(Batch {
            number: self.last_batch,
            ops: std::mem::replace(&mut self.pending, rest),
            is_in_flight: false,
            candidate: None,
            refused: Vec::new(),
            sealing: BTreeMap::new(),
        });
        if self.view.is_some() {
            self.write(now, fx);
        } else {
            self.read(fx);
        }
    }

    /// Returns the maximum number of changes in the next batch, depending on the ledger's length.
    fn batch_ops_max(&self) -> usize {
        let entries = self
            .view
            .as_ref()
            .map_or(0, |(_, ledger)| ledger.entries.len());
        if entries >= RECENT_ENTRIES + PAGE_ENTRIES {
            // No more than the removal of one page makes room for.
            PAGE_ENTRIES
        } else {
            BATCH_OPS_MAX
        }
    }

    /// Returns the run number below which no run is open after the next batch. `rest` holds the
    /// changes that stay pending.
    fn settled_below(&self, rest: &[LedgerOp]) -> u64 {
        let left = rest.iter().filter_map(|op| match op {
            LedgerOp::Spend { entry, .. } => Some(&entry.run),
            _ => None,
        });
        let open = self.reservations.keys().chain(left);
        let waiting = self.waiters.iter().map(|waiter| &waiter.run);
        open.chain(waiting)
            .filter_map(|run| run_number(run))
            .min()
            .unwrap_or(self.highest_run + 1)
    }

    fn read(&mut self, fx: &mut Vec<HolderEffect>) {
        if let Some(batch) = &mut self.batch {
            batch.is_in_flight = true;
            batch.candidate = None;
        }
        fx.push(HolderEffect::Read);
    }

    fn write(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let (Some(batch), Some((version, ledger))) = (&mut self.batch, &self.view) else {
            return;
        };
        batch.note_sealing(ledger, &self.identity);
        let mut candidate = ledger.clone();
        batch.refused = candidate.apply(
            &self.identity,
            batch.number,
            &batch.ops,
            self.options.policy.policy(),
            self.options.instances,
            now,
        );
        match candidate.to_json() {
            Ok(value) => {
                batch.is_in_flight = true;
                batch.candidate = Some(candidate);
                fx.push(HolderEffect::Write {
                    expected_version: *version,
                    value,
                });
            }
            Err(error) => self.on_ledger_invalid(now, &error.to_string(), fx),
        }
    }

    /// Handles the store's answer to a read or write of the ledger.
    pub fn on_store(&mut self, now: Duration, answer: StoreAnswer, fx: &mut Vec<HolderEffect>) {
        if let Some(batch) = &mut self.batch {
            batch.is_in_flight = false;
        }
        match answer {
            StoreAnswer::Written { version } => self.on_written(now, version, fx),
            StoreAnswer::Found(object) | StoreAnswer::Conflict(object) => {
                self.reset_backoff();
                self.on_found(now, object, fx);
            }
            StoreAnswer::Lost => self.on_answer_lost(now, fx),
        }
        self.advance_waiters(now, fx);
        self.flush_due(now, fx);
    }

    fn reset_backoff(&mut self) {
        self.retry_at = None;
        self.lost_answers = 0;
    }

    fn on_written(&mut self, now: Duration, version: Version, fx: &mut Vec<HolderEffect>) {
        self.reset_backoff();
        let candidate = self.batch.as_mut().and_then(|batch| batch.candidate.take());
        let Some(ledger) = candidate else {
            return;
        };
        self.seen_version = version;
        self.view = Some((version, ledger));
        self.view_at = now;
        self.on_committed(now, fx);
    }

    fn on_found(&mut self, now: Duration, object: Option<Object>, fx: &mut Vec<HolderEffect>) {
        let Some(object) = object else {
            self.on_budget_missing(now);
            return;
        };
        if object.version < self.seen_version {
            // A stale read must not bring back tokens that were already spent.
            self.on_answer_lost(now, fx);
            return;
        }
        match Ledger::try_from_json(&object.value) {
            Ok(ledger) => {
                self.seen_version = object.version;
                self.view = Some((object.version, ledger));
            }
            Err(error) => {
                self.on_ledger_invalid(now, &error.to_string(), fx);
                return;
            }
        }
        self.view_at = now;
        self.check_holdings(fx);

        // The batch may be in the ledger already, if its write took effect and the answer was lost.
        let writer = self.identity.writer();
        let (Some(batch), Some((_, ledger))) = (&self.batch, &self.view) else {
            // Without a batch, the read was a check that the store is available, made before grants
            // are replaced.
            if self.renew_at.is_some() {
                self.renew_at = Some(now);
                self.renew_due(now, fx);
            }
            return;
        };
        let is_in = ledger.has_batch(&writer, batch.number);
        if is_in {
            self.on_committed(now, fx);
        } else {
            self.write(now, fx);
        }
    }

    fn on_budget_missing(&mut self, now: Duration) {
        self.view = None;
        self.mark_store(SourceState::Requested, SourceState::Empty);
        self.mark_store(SourceState::NotRequested, SourceState::Empty);
        self.drop_grant_only_batch();
        self.retry_at = self.batch.as_ref().map(|_| now + BACKOFF_MAX);
    }

    /// Drops a batch that only requests grants, since it holds nothing that must be written.
    fn drop_grant_only_batch(&mut self) {
        let is_only_asking = self.batch.as_ref().is_some_and(|batch| {
            batch
                .ops
                .iter()
                .all(|op| matches!(op, LedgerOp::Grant { .. }))
        });
        if is_only_asking {
            self.batch = None;
        }
    }

    fn on_ledger_invalid(&mut self, now: Duration, error: &str, fx: &mut Vec<HolderEffect>) {
        self.view = None;
        self.retry_at = Some(now + BACKOFF_MAX);
        self.mark_store(SourceState::Requested, SourceState::Unreachable);
        self.mark_store(SourceState::NotRequested, SourceState::Unreachable);
        Self::log(
            fx,
            EventCode::LedgerInvalid,
            &[("budget", &self.budget), ("error", error)],
        );
    }

    fn on_answer_lost(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        // The write may have taken effect, or may still do so. Only a read of the ledger can show
        // it, and a repeated write with the same batch number is not applied twice.
        let backoff = BACKOFF_MIN
            .saturating_mul(1 << self.lost_answers.min(4))
            .min(BACKOFF_MAX);
        self.lost_answers = self.lost_answers.saturating_add(1);
        self.retry_at = Some(now + backoff);
        self.view = None;
        self.mark_store(SourceState::Requested, SourceState::Unreachable);
        self.mark_store(SourceState::NotRequested, SourceState::Unreachable);
        Self::log(fx, EventCode::LedgerAnswerLost, &[("budget", &self.budget)]);
    }

    /// Updates the state of the holder after its batch was applied to the ledger.
    fn on_committed(&mut self, now: Duration, fx: &mut Vec<HolderEffect>) {
        let Some(batch) = self.batch.take() else {
            return;
        };
        let mut runs = Vec::new();
        for op in &batch.ops {
            match op {
                LedgerOp::Grant { grant, .. } => self.on_grant_committed(grant, fx),
                LedgerOp::Spend { entry, .. } => runs.push(entry.run.clone()),
                LedgerOp::Seal {
                    holder,
                    incarnation,
                    ..
                } => {
                    let sealed_holder = (holder.clone(), *incarnation);
                    let grants = batch
                        .sealing
                        .get(&sealed_holder)
                        .cloned()
                        .unwrap_or_default();
                    self.on_seal_committed(sealed_holder, grants, fx);
                }
                LedgerOp::Unwitness { grant } => self.on_unwitness_committed(grant),
                LedgerOp::Adopt(adoption) => {
                    if let Some(holding) = self.holdings.get_mut(&adoption.transfer) {
                        holding.origins.clear();
                    }
                }
                _ => {}
            }
        }
        for run in &batch.refused {
            Self::log(
                fx,
                EventCode::BillDropped,
                &[("budget", &self.budget), ("run", run)],
            );
        }
        if !runs.is_empty() {
            let count = runs.len().to_string();
            Self::log(
                fx,
                EventCode::BillsFlushed,
                &[("budget", &self.budget), ("entries", &count)],
            );
            fx.push(HolderEffect::Flushed { runs });
        }
        self.check_holdings(fx);
        if !self.pending.is_empty() {
            self.next_flush_at = self.next_flush_at.min(now);
        }
        let has_requested = batch
            .ops
            .iter()
            .any(|op| matches!(op, LedgerOp::Grant { .. }));
        if has_requested {
            self.mark_store_answered();
        }
        self.store_page(fx);
    }

    fn mark_store_answered(&mut self) {
        // The store has now answered all runs that waited for this batch. If the grant was too
        // small for them, the remaining tokens are requested from peers.
        self.mark_store(SourceState::Requested, SourceState::Empty);
    }

    fn on_grant_committed(&mut self, id: &GrantId, fx: &mut Vec<HolderEffect>) {
        let Some((_, ledger)) = &self.view else {
            return;
        };
        let Some(grant) = ledger.grants.get(id) else {
            return;
        };
        if !grant.is_held_by(&self.identity) || grant.is_sealed() {
            return;
        }
        let tokens = grant.outstanding_tokens().to_string();
        self.holdings.insert(
            id.clone(),
            Holding {
                free_tokens: grant.outstanding_tokens(),
                witnesses: grant.witnesses.clone(),
                origins: Vec::new(),
            },
        );
        if !grant.witnesses.is_empty() {
            fx.push(HolderEffect::AnnounceGrant {
                grant: id.clone(),
                witnesses: grant.witnesses.keys().cloned().collect(),
            });
        }
        Self::log(
            fx,
            EventCode::GrantReceived,
            &[("budget", &self.budget), ("grant", id), ("tokens", &tokens)],
        );
        if self.is_stopping {
            self.return_free();
        }
    }

    fn on_seal_committed(
        &self,
        (holder, incarnation): (InstanceId, Incarnation),
        grants: BTreeSet<GrantId>,
        fx: &mut Vec<HolderEffect>,
    ) {
        Self::log(
            fx,
            EventCode::GrantSealed,
            &[("budget", &self.budget), ("holder", &holder)],
        );
        fx.push(HolderEffect::Sealed {
            holder,
            incarnation,
            grants,
        });
    }

    fn on_unwitness_committed(&mut self, id: &GrantId) {
        let is_open = self
            .view
            .as_ref()
            .and_then(|(_, ledger)| ledger.grants.get(id))
            .is_some_and(|grant| grant.witnesses.is_empty());
        if let Some(holding) = self.holdings.get_mut(id)
            && is_open
        {
            holding.witnesses.clear();
        }
    }
}
